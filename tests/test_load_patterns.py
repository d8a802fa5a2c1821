"""Load patterns, each with the decision that it asks for; no network.

The pattern is the name of the test; its docstring says who would suffer.
"""

from __future__ import annotations

import pytest

from papayastall import _decision_types as types
from papayastall import exceptions
from tests import decision_helpers as helpers

_Code = exceptions.ErrorCode


def _refusals(
    actions: list[types.OwnerAction],
) -> dict[int, exceptions.ErrorCode]:
    return {
        action.request_id: action.code
        for action in actions
        if isinstance(action, types.RefuseRequest)
    }


@pytest.mark.parametrize(
    ("deadline_s", "code"),
    [(1.4, _Code.OVERLOADED), (0.5, _Code.DEADLINE_EXCEEDED)],
)
def test_queue_behind_an_upstream_that_suddenly_hangs(
    deadline_s: float, code: exceptions.ErrorCode
) -> None:
    """What no longer fits here goes on to an owner with a free slot.

    ``overloaded`` is followed by ingresses, ``deadline-exceeded`` is not.
    """
    owner = helpers.owner(slots=1)
    owner.submit(0.0, helpers.owner_request(1, reference_ms=300.0))
    owner.submit(
        0.0,
        helpers.owner_request(
            2, deadline_s=deadline_s, reference_ms=300.0 * deadline_s / 1.4
        ),
    )
    actions = owner.finished(1.0, 1, types.Outcome.ANSWERED)
    assert _refusals(actions) == {2: code}
