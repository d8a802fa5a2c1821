"""The data folder of a replica that admits itself to its group.

No operator makes the folder or gives it up, so that the node does both.
"""

from __future__ import annotations

import pathlib
import shutil

import anyio
import anyio.to_thread

from papayastall import exceptions
from papayastall import logs

__all__ = ["GroupFolder"]

RETRY_S = 0.5
_NAME = "group"


class GroupFolder:
    """A folder inside the given one, so that it can go as a whole.

    :param parent: the folder that the settings name.
    :param group_count: groups that it is made for.
    """

    def __init__(self, parent: pathlib.Path, group_count: int) -> None:
        self._folder = parent / _NAME
        self._group_count = group_count

    @property
    def path(self) -> str:
        """Where the replicas keep their files."""
        return str(self._folder)

    async def prepare(self) -> None:
        """Make the folder where there is none.

        A disk that takes no writes at the moment is tried again.
        """
        while not await anyio.to_thread.run_sync(self._try):
            await anyio.sleep(RETRY_S)

    def give_up(self) -> None:
        """Remove the folder; the next process makes another one."""
        shutil.rmtree(self._folder, ignore_errors=True)

    def _try(self) -> bool:
        # Nodes without a replica never load the storage.
        from papayastall import _data_folder

        if _data_folder.has_identity(self.path):
            return True
        try:
            # The identity is written last: whatever else is there was left
            # by a start that broke off.
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
