"""Settings shared by all tests: hypothesis runs are derandomised."""

from __future__ import annotations

import eliot
import hypothesis
import pytest

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, database=None
)
hypothesis.settings.load_profile("ci")


@pytest.fixture
def anyio_backend() -> str:
    """Run asynchronous tests on asyncio, the backend of the node."""
    return "asyncio"


@pytest.fixture(scope="session", autouse=True)
def drop_log_lines_without_a_file() -> None:
    """Let eliot drop lines that no test wants instead of keeping them.

    Until a destination was added once, it would keep the lines of earlier
    tests and write them to the first log file that a test opens.
    """
    eliot.add_destinations(_drop_line)
    eliot.remove_destination(_drop_line)


def _drop_line(message: dict[str, object]) -> None:
    pass
