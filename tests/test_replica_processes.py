"""Replicas as real processes on real files, killed, frozen and wiped."""

from __future__ import annotations

import collections.abc as cabc
import pathlib
import shutil
import signal
import time

from bench import replica_fleet
import pytest

from papayastall import _data_folder


@pytest.fixture
def fleet(
    tmp_path: pathlib.Path,
) -> cabc.Iterator[replica_fleet.Fleet]:
    started = replica_fleet.Fleet(tmp_path, group_count=1)
    try:
        yield started
    finally:
        for replica in started.replicas.values():
            replica.kill()


def count(fleet: replica_fleet.Fleet) -> int:
    """Commit one more command; return how many there are now."""
    while True:
        for replica in fleet.replicas.values():
            found = replica.ask(op="propose", group=0)
            if found is not None:
                return int(found)
        time.sleep(replica_fleet.POLL_INTERVAL_S)


def wait_applied(replica: replica_fleet.ReplicaProcess, index: int) -> None:
    while replica.ask(op="applied", group=0) < index:
        time.sleep(replica_fleet.POLL_INTERVAL_S)


def test_all_killed_at_once_lose_nothing(fleet: replica_fleet.Fleet) -> None:
    before = [count(fleet) for _ in range(20)][-1]
    for replica in fleet.replicas.values():
        replica.kill()
    for address in fleet.addresses:
        fleet.start(address)
    assert count(fleet) > before


def test_lost_folder_and_then_a_second_machine(
    fleet: replica_fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    before = [count(fleet) for _ in range(20)][-1]
    leader = fleet.leader(0)
    lost = next(a for a in fleet.addresses if a != leader.address)
    fleet.replicas.pop(lost).kill()
    shutil.rmtree(tmp_path / lost)
    _data_folder.create_data_folder(str(tmp_path / lost), 1)
    fleet.start(lost)
    while not fleet.replicas[lost].ask(op="votes", group=0):
        time.sleep(replica_fleet.POLL_INTERVAL_S)
    fleet.replicas.pop(leader.address).kill()
    assert count(fleet) > before


def test_frozen_leader_wakes_as_a_follower(
    fleet: replica_fleet.Fleet,
) -> None:
    before = count(fleet)
    leader = fleet.leader(0)
    leader.process.send_signal(signal.SIGSTOP)
    try:
        del fleet.replicas[leader.address]
        after = count(fleet)
        assert after > before
    finally:
        leader.process.send_signal(signal.SIGCONT)
    assert leader.ask(op="propose", group=0) is None
    fleet.replicas[leader.address] = leader
    wait_applied(leader, after)
