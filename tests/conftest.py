"""Configuration shared by all tests.

Hypothesis runs are derandomised, so that a failure can be repeated.
"""

from __future__ import annotations

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
