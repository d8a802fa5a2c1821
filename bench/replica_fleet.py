"""Control replicas as processes, to measure and test the replicated log."""

from __future__ import annotations

import json
import pathlib
import socket
import subprocess
import sys
import time
import typing as t

from papayastall import _data_folder

POLL_INTERVAL_S = 0.05


def free_address() -> str:
    """Return a loopback address that nothing listens on."""
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


class ReplicaProcess:
    """A replica process that takes requests on its standard input.

    :param options: see :mod:`bench.replica_process`.
    """

    def __init__(self, options: dict[str, t.Any]) -> None:
        self.address: str = options["own_address"]
        self.process = subprocess.Popen(
            [sys.executable, "-m", "bench.replica_process"]
            + [json.dumps(options)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        self.opened_s: float = self.read()["opened_s"]

    def send(self, **request: t.Any) -> None:
        """Send a request without waiting for its answer."""
        assert self.process.stdin is not None
        self.process.stdin.write(json.dumps(request) + "\n")
        self.process.stdin.flush()

    def read(self) -> t.Any:
        """Wait for the next answer."""
        assert self.process.stdout is not None
        return json.loads(self.process.stdout.readline())

    def ask(self, **request: t.Any) -> t.Any:
        """Send a request and wait for its answer."""
        self.send(**request)
        return self.read()

    def kill(self) -> None:
        """Send SIGKILL and wait until the process has ended."""
        self.process.kill()
        self.process.wait()

    def close(self) -> None:
        """End the process by closing its standard input, and wait for it."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait()


class Fleet:
    """Replica processes of the same groups, started when it is created.

    :param folder: parent of the data folders, which are created.
    :param group_count: number of groups; each replica has a part in all.
    :param size: number of replicas.
    """

    def __init__(
        self, folder: pathlib.Path, group_count: int, size: int = 3
    ) -> None:
        self._folder = folder
        self._group_count = group_count
        self.addresses = [free_address() for _ in range(size)]
        self.replicas: dict[str, ReplicaProcess] = {}
        for address in self.addresses:
            path = str(folder / address)
            _data_folder.create_data_folder(path, group_count)
            self.start(address)

    def start(self, address: str) -> ReplicaProcess:
        """Start the replica of an address, or start it again."""
        self.replicas[address] = ReplicaProcess(
            {
                "addresses": self.addresses,
                "own_address": address,
                "data_folder": str(self._folder / address),
                "groups": self._group_count,
            }
        )
        return self.replicas[address]

    def leader(self, group: int) -> ReplicaProcess:
        """Wait until all replicas agree on a running leader; return it."""
        while True:
            named = {
                each.ask(op="leader", group=group)
                for each in self.replicas.values()
            }
            if len(named) == 1 and named <= set(self.replicas):
                return self.replicas[named.pop()]
            time.sleep(POLL_INTERVAL_S)

    def close(self) -> None:
        """Stop all replicas, one after another, without killing them."""
        for replica in self.replicas.values():
            replica.close()
