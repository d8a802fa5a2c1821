"""Tests of the data folder when the disk fails or the process crashes."""

from __future__ import annotations

import errno
import pathlib

import hypothesis
from hypothesis import strategies
import pytest

from papayastall import _data_folder
from papayastall import _raft_log
from papayastall import _raft_types as types
from papayastall import _storage
from papayastall import exceptions
from tests import fake_files

FOLDER = "/data"
WAL_PATH = "/data/wal-0000000000000000"


def create_folder(files: fake_files.FakeFileSystem, groups: int = 2) -> None:
    _data_folder.create_data_folder(FOLDER, groups, files=files, folder_id=7)


def open_storage(
    files: fake_files.FakeFileSystem,
) -> tuple[_storage.Storage, _storage.FolderState]:
    storage = _storage.Storage(FOLDER, files)
    return storage, storage.open(1)


def make_entries(count: int, first: int = 1) -> list[types.Entry]:
    """Return ``count`` chained entries from index ``first`` on."""
    log = _raft_log.RaftLog()
    for index in range(1, first + count):
        log.append(
            types.make_entry(
                index,
                1,
                types.EntryKind.COMMAND,
                b"payload %d" % index,
                log.last_chain,
            )
        )
    return log.range(first, first + count - 1)


def write(storage: _storage.Storage, *writes: types.Write) -> None:
    """Write on behalf of group 1 with one sync."""
    storage.write([_storage.GroupWrite(1, each) for each in writes])


@hypothesis.given(
    seed=strategies.integers(0, 1 << 30),
    batches=strategies.lists(strategies.integers(1, 4), max_size=6),
    fail_after=strategies.integers(1, 14),
    full=strategies.booleans(),
)
def test_acknowledged_writes_survive_a_crash(
    seed: int, batches: list[int], fail_after: int, full: bool
) -> None:
    """Neither a crash nor an I/O error loses or reorders synced entries.

    After the error, the storage refuses writes until it is opened again.
    """
    files = fake_files.FakeFileSystem(seed)
    create_folder(files)
    storage, _ = open_storage(files)
    files.errno = errno.ENOSPC if full else errno.EIO
    files.fail_at = files.operations + fail_after
    written = acknowledged = 0
    try:
        for size in batches:
            entries = make_entries(size, written + 1)
            written += size
            write(storage, types.HardState(term=written), *entries)
            acknowledged = written
    except exceptions.StorageError as error:
        assert error.code is exceptions.ErrorCode.STORAGE_FAILED
        files.fail_at = None
        with pytest.raises(exceptions.StorageError):
            write(storage)
    files.crash()
    _, state = open_storage(files)
    stored = state.groups[1]
    assert acknowledged <= len(stored.entries) <= written
    assert stored.entries == make_entries(len(stored.entries))
    assert stored.hard_state.term >= acknowledged
    assert state.boot == 2


def test_torn_last_frame_is_truncated() -> None:
    """A crash during a write may leave any prefix of the last frame."""
    files = fake_files.FakeFileSystem()
    create_folder(files)
    storage, _ = open_storage(files)
    write(storage, *make_entries(3))
    size = files.size_bytes(WAL_PATH)
    write(storage, *make_entries(1, 4))
    for cut in range(size, files.size_bytes(WAL_PATH)):
        torn = files.copy()
        torn.truncate(WAL_PATH, cut)
        _, state = open_storage(torn)
        assert len(state.groups[1].entries) == 3


def test_damage_before_the_last_frame_names_file_and_offset() -> None:
    """Only the last frame may be invalid; earlier frames were synced."""
    files = fake_files.FakeFileSystem()
    create_folder(files)
    storage, _ = open_storage(files)
    start = files.size_bytes(WAL_PATH)
    write(storage, *make_entries(3))
    end = files.size_bytes(WAL_PATH)
    write(storage, *make_entries(1, 4))
    for offset in range(0, end):
        damaged = files.copy()
        damaged.damage(WAL_PATH, offset)
        with pytest.raises(exceptions.StorageError) as caught:
            open_storage(damaged)
        assert caught.value.code is exceptions.ErrorCode.STORAGE_DAMAGED
        assert WAL_PATH in str(caught.value)
        if offset >= start:
            assert f"offset {start}" in str(caught.value)


def test_damaged_snapshot_and_identity_are_detected() -> None:
    files = fake_files.FakeFileSystem()
    create_folder(files)
    storage, _ = open_storage(files)
    meta = types.SnapshotMeta(5, 1, 9, types.Members())
    write(storage, types.ChunkWrite(meta, 0, b"half,", False))
    write(storage, types.ChunkWrite(meta, 5, b"whole", True))
    _, state = open_storage(files.copy())
    assert state.groups[1].base == meta
    assert storage.read_snapshot(1, 5) == b"half,whole"
    assert storage.read_chunk(1, 5, 5, 3) == (b"who", 10)
    for name in ("snapshot-1-0000000000000005", "identity"):
        path = f"{FOLDER}/{name}"
        for offset in range(files.size_bytes(path)):
            damaged = files.copy()
            damaged.damage(path, offset)
            with pytest.raises(exceptions.StorageError, match=name):
                open_storage(damaged)


def test_snapshot_beyond_the_log_replaces_it_after_a_crash() -> None:
    """The crash comes after the snapshot and before its log record."""
    files = fake_files.FakeFileSystem()
    create_folder(files)
    storage, _ = open_storage(files)
    write(storage, *make_entries(3))
    meta = types.SnapshotMeta(50, 1, 9, types.Members())
    storage.save_snapshot(1, meta, b"state")
    files.crash()
    storage, state = open_storage(files)
    assert state.groups[1].base == meta
    assert state.groups[1].entries == []
    following = types.make_entry(51, 1, types.EntryKind.NOOP, b"", 9)
    write(storage, following)
    files.crash()
    assert open_storage(files)[1].groups[1].entries == [following]


@pytest.mark.parametrize("fail_after", range(1, 8))
def test_new_generation_replaces_the_log_or_leaves_it(
    fail_after: int,
) -> None:
    """A crash at any step leaves the old or the new generation complete."""
    files = fake_files.FakeFileSystem(fail_after)
    create_folder(files)
    storage, _ = open_storage(files)
    entries = make_entries(4)
    hard_state = types.HardState(term=1)
    write(storage, hard_state, *entries)
    checkpoint = _data_folder.GroupCheckpoint(
        _raft_log.EMPTY_META, hard_state, entries
    )
    empty = _data_folder.GroupCheckpoint(
        _raft_log.EMPTY_META, types.HardState(), []
    )
    files.fail_at = files.operations + fail_after
    try:
        storage.start_generation([empty, checkpoint])
        write(storage, *make_entries(1, 5))
    except exceptions.StorageError:
        pass
    files.crash()
    state = open_storage(files)[1]
    assert state.groups[1].hard_state == hard_state
    assert state.groups[1].entries[:4] == entries


def test_folder_in_use_is_refused(tmp_path: pathlib.Path) -> None:
    path = str(tmp_path / "data")
    _data_folder.create_data_folder(path, 1)
    with pytest.raises(exceptions.StorageError, match="not empty"):
        _data_folder.create_data_folder(path, 1)
    first = _storage.Storage(path)
    state = first.open()
    entry = make_entries(1)[0]
    first.write([_storage.GroupWrite(0, entry)])
    with pytest.raises(exceptions.StorageError, match="another process"):
        _storage.Storage(path).open()
    first.close()
    second = _storage.Storage(path)
    reopened_state = second.open()
    assert reopened_state.groups[0].entries == [entry]
    assert (reopened_state.folder_id, reopened_state.boot) == (
        state.folder_id,
        2,
    )
    second.close()


def test_folder_that_was_never_created_is_refused(
    tmp_path: pathlib.Path,
) -> None:
    with pytest.raises(exceptions.StorageError, match="papayastall init"):
        _storage.Storage(str(tmp_path)).open()


def test_groups_can_be_added_but_not_removed() -> None:
    files = fake_files.FakeFileSystem()
    create_folder(files)
    storage, _ = open_storage(files)
    entries = make_entries(2)
    write(storage, *entries)
    storage.close()
    state = _storage.Storage(FOLDER, files).open(group_count=4)
    assert [len(group.entries) for group in state.groups] == [0, 2, 0, 0]
    files.crash()
    with pytest.raises(exceptions.BadInputError, match="only grow"):
        _storage.Storage(FOLDER, files).open(group_count=3)
