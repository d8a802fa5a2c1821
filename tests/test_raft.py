"""Tests of the replicated log: one failure scenario each."""

from __future__ import annotations

import random

import pytest

from papayastall import _raft
from papayastall import _raft_codec as codec
from papayastall import _raft_state
from papayastall import _raft_types as types
from papayastall import exceptions
from tests import raft_cluster


def make_cluster(seed: int = 1, size: int = 3) -> raft_cluster.Cluster:
    """Return a cluster with a leader and two committed commands."""
    cluster = raft_cluster.Cluster(seed, size)
    cluster.run_until(cluster.has_leader)
    commit(cluster, "first", "second")
    return cluster


def commit(cluster: raft_cluster.Cluster, *commands: str) -> None:
    for command in commands:

        def is_done(command: str = command) -> bool:
            leader = cluster.leader()
            if leader is not None and command not in cluster.acknowledged:
                cluster.propose(leader, command)
            cluster.run(0.2)
            return command in cluster.acknowledged

        cluster.run_until(is_done)


def get_leader(cluster: raft_cluster.Cluster) -> raft_cluster.Node:
    leader = cluster.leader()
    assert leader is not None
    return leader


def get_followers(
    cluster: raft_cluster.Cluster,
) -> list[raft_cluster.Node]:
    leader = get_leader(cluster)
    return [node for node in cluster.running() if node is not leader]


def cut_off(cluster: raft_cluster.Cluster, node: raft_cluster.Node) -> None:
    for other in cluster.addresses:
        cluster.cuts |= {(node.address, other), (other, node.address)}


def voter_ids(cluster: raft_cluster.Cluster) -> frozenset[int]:
    return get_leader(cluster).group.replica.log.members.voter_ids()


def test_leader_that_is_cut_off_stops_within_its_lease() -> None:
    """The others may elect a new leader once the lease has expired."""
    cluster = make_cluster()
    old = get_leader(cluster)
    cut_off(cluster, old)
    cluster.run(types.Timings().lease_s + 0.1)
    with pytest.raises(exceptions.PapayastallError):
        old.group.replica.read_index(cluster.clock_s(old))
    cluster.run(types.Timings().election_min_s)
    assert not cluster.propose(old, "lost")
    cluster.settle()


def test_leader_that_receives_nothing_steps_down() -> None:
    cluster = make_cluster()
    old = get_leader(cluster)
    for node in get_followers(cluster):
        cluster.cuts.add((node.address, old.address))
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    cluster.settle()


def test_follower_cut_off_from_the_leader_does_not_depose_it() -> None:
    """Its vote requests must neither depose the leader nor raise the term.

    The other replicas still receive heartbeats from the leader.
    """
    cluster = make_cluster()
    leader = get_leader(cluster)
    term = leader.group.replica.term
    unreached = get_followers(cluster)[0]
    cluster.cuts.add((leader.address, unreached.address))
    cluster.run(20.0)
    assert get_leader(cluster) is leader
    assert leader.group.replica.term == term
    cluster.settle()


def test_replica_far_behind_receives_a_snapshot() -> None:
    cluster = make_cluster()
    slow = get_followers(cluster)[0]
    cluster.crash(slow)
    commit(cluster, *(f"c{i}" for i in range(40)))
    assert get_leader(cluster).group.replica.log.base.index > 5
    cluster.start(slow)
    cluster.settle()
    assert slow.group.replica.snapshot_index > 5


def test_lost_disk_recovers_before_it_votes() -> None:
    """A replica that lost its disk must not vote until it has the log again.

    Its vote could elect a leader that lacks committed entries: the lost disk
    may have had one of the copies that made up their majority.
    """
    cluster = make_cluster()
    lost = get_followers(cluster)[0]
    cluster.lose_disk(lost)
    assert lost.folder_id not in voter_ids(cluster)
    cluster.run_until(lambda: lost.folder_id in voter_ids(cluster))
    commit(cluster, "after")
    second = get_leader(cluster)
    cluster.crash(second)
    commit(cluster, "after the second loss")
    cluster.check_acknowledged()


def test_replicas_that_lack_a_committed_entry_elect_no_leader() -> None:
    """Replicas that all lack a committed entry must not elect a leader.

    One was partitioned when it was committed, the other lost its disk.
    """
    cluster = make_cluster()
    slow, lost = get_followers(cluster)
    cut_off(cluster, slow)
    commit(cluster, "held by the leader and the lost one")
    cluster.lose_disk(lost)
    cluster.crash(get_leader(cluster))
    cluster.cuts.clear()
    cluster.run(30.0)
    assert cluster.leader() is None, (
        "elected by replicas that lack a committed entry"
    )
    cluster.settle()


def test_folder_that_was_replaced_is_kept_out() -> None:
    """The old data folder of a node returns after a new one has joined."""
    cluster = make_cluster()
    cluster.expects_stale = True
    lost = get_followers(cluster)[0]
    cluster.crash(lost)
    old_files = lost.files.copy()
    cluster.lose_disk(lost)
    cluster.settle()
    cluster.crash(lost)
    lost.files = old_files
    cluster.start(lost)
    cluster.run_until(lambda: lost.failure is not None)
    assert "replaced" in str(lost.failure)


def test_older_copy_is_caught_by_its_start_number() -> None:
    """A restored copy of a data folder lacks acknowledged entries."""
    cluster = make_cluster()
    cluster.expects_stale = True
    node = get_followers(cluster)[0]
    cluster.crash(node)
    copy = node.files.copy()
    cluster.start(node)
    commit(cluster, "more")
    cluster.settle()
    cluster.crash(node)
    node.files = copy
    cluster.start(node)
    cluster.run_until(lambda: node.failure is not None)
    assert "older copy of" in str(node.failure)


def test_disk_that_loses_synced_data_is_caught_by_the_leader() -> None:
    cluster = make_cluster()
    cluster.expects_stale = True
    node = get_followers(cluster)[0]
    node.files.ignores_sync = True
    commit(cluster, *(f"c{i}" for i in range(5)))
    cluster.crash(node)
    node.files.ignores_sync = False
    cluster.start(node)
    cluster.run_until(lambda: node.failure is not None)
    assert "lacks writes" in str(node.failure)


def test_append_reply_from_before_a_snapshot_is_no_lost_write() -> None:
    """A late reply must not exclude a data folder that is in order.

    Its last index is lower than the match index from the snapshot, as if
    the follower had lost acknowledged entries.
    """
    cluster = make_cluster()
    leader = get_leader(cluster)
    slow = get_followers(cluster)[0]
    cluster.crash(slow)
    replica = leader.group.replica
    sender = types.Sender(slow.address, slow.folder_id, 2, 5)

    def answer(body: types.Body) -> list[types.Message]:
        message = types.Message(
            leader.address,
            leader.folder_id,
            sender,
            replica.hard_state.cluster_id,
            replica.term,
            body,
        )
        return replica.step(cluster.clock_s(leader), message).messages

    end = replica.log.last_index
    assert not answer(types.SnapshotReply(end, 100, True, 0.0))
    assert not answer(types.AppendReply(False, 1, 1, 0.0))


def test_members_change_one_at_a_time() -> None:
    """Majorities before and after two changes at once need not overlap."""
    cluster = make_cluster()
    cluster.expects_stale = True
    leader = get_leader(cluster)
    added = "10.0.0.4:1"
    replica = leader.group.replica
    now_s = cluster.clock_s(leader)
    leader.group.output.extend(replica.add_member(now_s, added))
    with pytest.raises(exceptions.PapayastallError, match="under way"):
        replica.remove_member(now_s, get_followers(cluster)[0].address)
    cluster.run(1.0)
    node = cluster.add_node(added)
    cluster.run_until(lambda: node.folder_id in voter_ids(cluster))
    removed = get_followers(cluster)[0]
    cluster.run(1.0)
    leader = get_leader(cluster)
    leader.group.output.extend(
        leader.group.replica.remove_member(
            cluster.clock_s(leader), removed.address
        )
    )
    cluster.run(1.0)
    assert removed.folder_id not in voter_ids(cluster)
    del cluster.nodes[removed.address]
    commit(cluster, "with the new members")
    cluster.settle()


def test_planned_stop_hands_leadership_over() -> None:
    cluster = make_cluster()
    old = get_leader(cluster)
    old.group.output.extend(old.group.replica.transfer(cluster.clock_s(old)))
    cluster.run(0.4)
    assert cluster.leader() not in (None, old)


def test_group_is_founded_only_when_all_folders_are_fresh() -> None:
    """An empty disk at the first address must not bootstrap a second group."""
    cluster = make_cluster()
    founder = cluster.nodes[cluster.addresses[0]]
    first, second = cluster.addresses[1:]
    cluster.cuts |= {(first, second), (second, first)}
    cluster.lose_disk(founder)
    cluster.run(20.0)
    assert founder.group.replica.log.last_index == 0
    cluster.settle()


def test_resumed_leader_serves_no_stale_read() -> None:
    """Its lease expired during the pause, and another leader committed."""
    cluster = make_cluster()
    old = get_leader(cluster)
    old.paused_until_s = cluster.now_s + 10.0
    cluster.run_until(lambda: cluster.leader() not in (None, old))
    commit(cluster, "while it was paused")
    with pytest.raises(exceptions.PapayastallError):
        old.group.replica.read_index(cluster.clock_s(old))
    cluster.settle()


def make_replica(boot: int, writes: list[types.Write]) -> _raft.Replica:
    """Return the first of three replicas, restored from its writes.

    :param boot: start number of its process.
    """
    stored = _raft_state.StoredState()
    for write in writes:
        match write:
            case types.HardState():
                stored.hard_state = write
            case types.Entry():
                stored.entries.append(write)
    return _raft.Replica(
        types.Sender("a:1", 1, boot, boot),
        ("a:1", "b:1", "c:1"),
        stored,
        types.Timings(),
        random.Random(1),
        100.0 * boot,
    )


def make_log() -> list[types.Write]:
    """Return the writes of a log of term 1: members and one command."""
    members = types.Members(
        tuple(
            types.Member(f"{name}:1", number, True, 1, number)
            for number, name in enumerate("abc", start=1)
        )
    )
    payload = codec.encode_members(members)
    kinds = types.EntryKind
    first = types.make_entry(1, 1, kinds.MEMBERS, payload, 0)
    second = types.make_entry(2, 1, kinds.COMMAND, b"old", first.chain)
    return [types.HardState(1, 0, 1, 0), first, second]


def from_peer(number: int, term: int, body: types.Body) -> types.Message:
    name = "abc"[number - 1]
    sender = types.Sender(f"{name}:1", number, 1, number)
    return types.Message("a:1", 1, sender, 1, term, body)


def test_vote_outlasts_a_restart() -> None:
    """A voter that forgets its vote can elect two leaders in one term."""
    request = types.VoteRequest(False, False, 2, 1)
    writes = make_log()
    replica = make_replica(1, writes)
    output = replica.step(150.0, from_peer(2, 5, request))
    assert output.messages[-1].body == types.VoteReply(False, True)
    again = make_replica(2, writes + output.writes)
    output = again.step(250.0, from_peer(3, 5, request))
    assert output.messages[-1].body == types.VoteReply(False, False)


def test_entry_of_an_earlier_term_commits_with_one_of_its_own() -> None:
    """A majority alone must not commit an entry of an earlier term.

    A later leader could still overwrite it (Raft paper, section 5.4.2).
    """
    replica = make_replica(1, make_log())
    replica.tick(150.0)
    replica.step(150.0, from_peer(2, 2, types.VoteReply(True, True)))
    replica.on_persisted(150.0)
    replica.step(150.0, from_peer(2, 2, types.VoteReply(False, True)))
    replica.on_persisted(150.0)
    assert replica.role is types.Role.LEADER
    reply = types.AppendReply(True, 2, 2, 150.0)
    replica.step(150.0, from_peer(2, 2, reply))
    assert replica.commit_index == 0
    reply = types.AppendReply(True, 3, 3, 150.0)
    replica.step(150.0, from_peer(2, 2, reply))
    assert replica.commit_index == 3


def test_late_answers_do_not_extend_the_lease() -> None:
    """A lease starts when a heartbeat is sent, not when its reply arrives.

    The old leader gets replies after a delay, while another one is elected;
    a lease from their arrival would allow stale reads.
    """
    for seed in range(12):
        cluster = make_cluster(seed)
        old = get_leader(cluster)
        cluster.held_messages[old.address] = []
        cluster.run(0.35)
        cut_off(cluster, old)
        cluster.run(0.75)
        cluster.release_held_messages(old.address)
        cluster.run_until(lambda: cluster.leader() not in (None, old))
        commit(cluster, "by the new leader")
        cluster.settle()


def test_leader_lease_outlasts_a_voter_restart() -> None:
    """A restarted voter must not vote during the lease of a leader.

    It has forgotten when it last heard from the leader. If it voted at
    once, another leader could commit while the old one serves reads.
    """
    for seed in range(12):
        cluster = make_cluster(seed)
        leader = get_leader(cluster)
        voter, cut = get_followers(cluster)
        pair = (cut.address, leader.address)
        cluster.cuts |= {pair, pair[::-1]}
        cluster.run_until(
            lambda: cut.group.replica.role is types.Role.PRE_CANDIDATE
        )
        cut_off(cluster, leader)
        cluster.restart(voter)
        cluster.run(0.5)
        if cluster.leader() is cut:
            cluster.propose(cut, "soon")
        cluster.run(1.0)
        cluster.settle()


def test_folder_joins_again_when_its_leader_was_deposed() -> None:
    """A replica must join again if the entry that added it is replaced.

    Its own log still has that entry, which lists it as a member.
    """
    cluster = make_cluster(size=5)
    old = get_leader(cluster)
    lost, *others = get_followers(cluster)
    for node in others:
        for end in (old, lost):
            pair = (node.address, end.address)
            cluster.cuts |= {pair, pair[::-1]}
    cluster.lose_disk(lost)
    cluster.run(1.0)
    assert lost.group.replica.log.members.find(lost.address) is not None
    cluster.run_until(lambda: cluster.leader() in others)
    commit(cluster, "by the new leader")
    cluster.cuts.clear()
    cluster.run_until(lambda: lost.folder_id in voter_ids(cluster))
    cluster.settle()


def test_leadership_returns_to_the_preferred_replica() -> None:
    cluster = make_cluster()
    cluster.timings = types.Timings()
    for node in cluster.running():
        cluster.restart(node)
    preferred = cluster.nodes[cluster.addresses[0]]
    cluster.crash(preferred)
    commit(cluster, "while it is away")
    cluster.start(preferred)
    cluster.run_until(lambda: cluster.leader() is preferred)
    commit(cluster, "under the preferred leader")
    cluster.settle()
