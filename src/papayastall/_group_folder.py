"""The data folder of a replica that joins its group without an operator.

No operator creates or removes the folder, so the node does both.
"""

from __future__ import annotations

import pathlib
import shutil

import anyio
import anyio.to_thread

from papayastall import exceptions
from papayastall import logs

__all__ = ["GroupFolder"]

RETRY_INTERVAL_S = 0.5
_FOLDER_NAME = "group"


class GroupFolder:
    """Creates and removes the data folder of the replicas on this node.

    It is a subfolder of ``parent``, so that it can be removed as a whole.

    :param parent: the data folder named in the settings.
    :param group_count: number of replication groups it is created for.
    """

    def __init__(self, parent: pathlib.Path, group_count: int) -> None:
        self._folder = parent / _FOLDER_NAME
        self._group_count = group_count

    @property
    def path(self) -> str:
        """Path of the data folder."""
        return str(self._folder)

    async def prepare(self) -> None:
        """Create the folder unless it exists.

        Retries until that succeeds, because a disk that can't be written
        may recover.
        """
        while not await anyio.to_thread.run_sync(self._try_create):
            await anyio.sleep(RETRY_INTERVAL_S)

    def give_up(self) -> None:
        """Remove the folder; the next process creates a new one."""
        shutil.rmtree(self._folder, ignore_errors=True)

    def _try_create(self) -> bool:
        """Create the folder unless it exists; return whether it does now."""
        # Imported here so that nodes without a replica don't load it.
        from papayastall import _data_folder

        if _data_folder.has_identity(self.path):
            return True
        try:
            # The identity file is written last, so without it the folder is
            # left over from a creation that was interrupted.
            self.give_up()
            _data_folder.create_data_folder(self.path, self._group_count)
        except (exceptions.StorageError, OSError) as error:
            logs.log_change(
                logs.StateChange(
                    logs.ChangeKind.STORAGE,
                    self.path,
                    "",
                    "not made",
                    str(error),
                )
            )
            return False
        return True
