"""Tests of replica processes that are killed, paused or lose their folder."""

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
    """Commit a command; return the number of commands committed so far."""
    while True:
        for replica in fleet.replicas.values():
            answer = replica.ask(op="propose", group=0)
            if answer is not None:
                return int(answer)
        time.sleep(replica_fleet.POLL_INTERVAL_S)


def wait_applied(replica: replica_fleet.ReplicaProcess, index: int) -> None:
    """Wait until a replica has applied the entry at ``index``."""
    while replica.ask(op="applied", group=0) < index:
        time.sleep(replica_fleet.POLL_INTERVAL_S)


def test_killing_all_replicas_at_once_loses_nothing(
    fleet: replica_fleet.Fleet,
) -> None:
    before = [count(fleet) for _ in range(20)][-1]
    for replica in fleet.replicas.values():
        replica.kill()
    for address in fleet.addresses:
        fleet.start(address)
    assert count(fleet) > before


def test_lost_folder_and_then_a_lost_leader_lose_nothing(
    fleet: replica_fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    """A replica with a new folder recovers the log before it votes.

    Otherwise, losing the leader afterwards could lose committed commands.
    """
    before = [count(fleet) for _ in range(20)][-1]
    leader = fleet.leader(0)
    lost_address = next(a for a in fleet.addresses if a != leader.address)
    fleet.replicas.pop(lost_address).kill()
    shutil.rmtree(tmp_path / lost_address)
    _data_folder.create_data_folder(str(tmp_path / lost_address), 1)
    fleet.start(lost_address)
    while not fleet.replicas[lost_address].ask(op="votes", group=0):
        time.sleep(replica_fleet.POLL_INTERVAL_S)
    fleet.replicas.pop(leader.address).kill()
    assert count(fleet) > before


def test_paused_leader_resumes_as_a_follower(
    fleet: replica_fleet.Fleet,
) -> None:
    """A leader whose lease expired in a pause must not commit afterwards."""
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
