"""Mutation tests: faults in the replicated log that other tests must detect.

Each mutation breaks one rule that an invariant of the log depends on. The
randomised runs that pass on the unmodified code must fail within
``MAX_SEEDS`` seeds; a mutation that takes effect only in a rare order of
events must fail the test that produces that order.
"""

from __future__ import annotations

import collections.abc as cabc
import math

import pytest

from papayastall import _raft_election
from papayastall import _raft_follower
from papayastall import _raft_join
from papayastall import _raft_leader
from papayastall import _raft_state
from papayastall import _raft_types as types
from papayastall import _replica_set
from papayastall import _storage
from papayastall import exceptions
from tests import fake_files
from tests import raft_cluster
from tests import raft_soak
from tests import test_raft

MAX_SEEDS = 60

Mutation = cabc.Callable[[pytest.MonkeyPatch], None]
Scenario = cabc.Callable[[], None]


class UnsyncedStorage(_storage.Storage):
    """Storage that reports writes as durable without syncing them."""

    def write(self, writes: cabc.Iterable[_storage.GroupWrite]) -> None:
        assert isinstance(self._files, fake_files.FakeFileSystem)
        self._files.ignores_sync = True
        super().write(writes)
        self._files.ignores_sync = False


class EarlyReplyReplicaSet(_replica_set.ReplicaSet):
    """Replica set that sends replies before their writes are durable."""

    def prepare(self, wal_bytes: int) -> _replica_set.Iteration:
        iteration = super().prepare(wal_bytes)
        iteration.early += iteration.messages
        iteration.messages.clear()
        return iteration


def ack_without_sync(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(raft_cluster.Cluster, "storage_class", UnsyncedStorage)


def ack_before_sync(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        raft_cluster.Cluster, "replica_set_class", EarlyReplyReplicaSet
    )


def vote_twice(patch: pytest.MonkeyPatch) -> None:
    """Don't store the vote, so that a restart forgets it."""

    def write_hard_state(self: _raft_state.RaftState) -> None:
        self.out.writes.append(
            types.HardState(self.term, 0, self.cluster_id, self.commit_index)
        )

    patch.setattr(_raft_state.RaftState, "write_hard_state", write_hard_state)


def too_small_majority(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        _raft_state.RaftState,
        "quorum_size",
        lambda self: len(self.log.members.voter_ids()) // 2,
    )


def old_logs_may_win(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        _raft_election.Election, "_is_up_to_date", lambda self, body: True
    )


def recovering_replica_counts(patch: pytest.MonkeyPatch) -> None:
    """Give the folder on a new disk the identity of the lost one."""

    def init_folder(
        self: raft_cluster.Cluster, node: raft_cluster.Node
    ) -> None:
        number = self.addresses.index(node.address) + 1
        raft_cluster.create_folder(node, number)

    patch.setattr(raft_cluster.Cluster, "init_folder", init_folder)
    starts_are_not_compared(patch)
    lost_writes_are_not_detected(patch)


def starts_are_not_compared(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        _raft_join,
        "stale_reason",
        lambda state, sender: (
            "replaced"
            if sender.folder_id in state.log.members.retired
            else None
        ),
    )


def replaced_folders_are_forgotten(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(_raft_join, "stale_reason", lambda state, sender: None)


def lost_writes_are_not_detected(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        _raft_leader.Leadership,
        "_lost_writes",
        lambda self, message, body, progress: False,
    )


def entries_of_earlier_terms_are_counted(patch: pytest.MonkeyPatch) -> None:
    append = _raft_leader.Leadership.append

    def early(
        self: _raft_leader.Leadership,
        now_s: float,
        kind: types.EntryKind,
        payloads: list[bytes],
    ) -> types.Position:
        self._term_start_index = 0
        return append(self, now_s, kind, payloads)

    patch.setattr(_raft_leader.Leadership, "append", early)


def gap_is_accepted(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        _raft_follower.Follower, "_mismatch_hint", lambda self, body: None
    )


def lease_never_expires(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        _raft_leader.Leadership,
        "lease_until_s",
        lambda self, now_s: math.inf,
    )


def leader_contact_is_lost_at_restart(patch: pytest.MonkeyPatch) -> None:
    init = _raft_state.RaftState.__init__

    def init_without_leader_contact(
        self: _raft_state.RaftState, *args: object
    ) -> None:
        init(self, *args)  # type: ignore[arg-type]
        self.leader_contact_s = -math.inf
        self.election_deadline_s = 0.0

    patch.setattr(
        _raft_state.RaftState, "__init__", init_without_leader_contact
    )


def snapshot_is_not_restored(patch: pytest.MonkeyPatch) -> None:
    def restore(
        self: _replica_set.Group,
        meta: types.SnapshotMeta,
        data: bytes,
        resolved: list[_replica_set.Resolved],
    ) -> None:
        self.applied_index = meta.index

    patch.setattr(_replica_set.Group, "_restore", restore)


def torn_tail_is_left(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        fake_files.FakeFileSystem, "truncate", lambda self, path, size: None
    )


def failed_sync_is_retried(patch: pytest.MonkeyPatch) -> None:
    append = _storage.Storage._append

    def append_ignoring_errors(self: _storage.Storage, body: bytes) -> None:
        try:
            append(self, body)
        except OSError:
            assert isinstance(self._files, fake_files.FakeFileSystem)
            self._files.fail_at = None
            self._sequence += 1

    patch.setattr(_storage.Storage, "_append", append_ignoring_errors)


RANDOM_RUN_MUTATIONS: tuple[Mutation, ...] = (
    ack_without_sync,
    ack_before_sync,
    too_small_majority,
    old_logs_may_win,
    recovering_replica_counts,
    gap_is_accepted,
    snapshot_is_not_restored,
    torn_tail_is_left,
    failed_sync_is_retried,
)

SCENARIO_MUTATIONS: tuple[tuple[Mutation, Scenario], ...] = (
    (vote_twice, test_raft.test_vote_outlasts_a_restart),
    (
        entries_of_earlier_terms_are_counted,
        test_raft.test_entry_of_an_earlier_term_commits_with_one_of_its_own,
    ),
    (
        lease_never_expires,
        test_raft.test_late_answers_do_not_extend_the_lease,
    ),
    (
        leader_contact_is_lost_at_restart,
        test_raft.test_leader_lease_outlasts_a_voter_restart,
    ),
    (
        recovering_replica_counts,
        test_raft.test_replicas_that_lack_a_committed_entry_elect_no_leader,
    ),
    (
        starts_are_not_compared,
        test_raft.test_older_copy_is_caught_by_its_start_number,
    ),
    (
        replaced_folders_are_forgotten,
        test_raft.test_folder_that_was_replaced_is_kept_out,
    ),
    (
        lost_writes_are_not_detected,
        test_raft.test_disk_that_loses_synced_data_is_caught_by_the_leader,
    ),
)


def find_failing_seed() -> tuple[int, str] | None:
    """Return the first seed that fails, and its error message."""
    for seed in range(MAX_SEEDS):
        try:
            raft_soak.run_seed(seed)
        except (AssertionError, exceptions.PapayastallError) as error:
            return seed, str(error)
    return None


@pytest.mark.parametrize("mutation", RANDOM_RUN_MUTATIONS)
def test_randomised_run_finds(
    mutation: Mutation, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation(monkeypatch)
    assert find_failing_seed() is not None


@pytest.mark.parametrize(("mutation", "scenario"), SCENARIO_MUTATIONS)
def test_scenario_finds(
    mutation: Mutation, scenario: Scenario, monkeypatch: pytest.MonkeyPatch
) -> None:
    mutation(monkeypatch)
    with pytest.raises(
        (AssertionError, exceptions.PapayastallError, pytest.fail.Exception)
    ):
        scenario()
