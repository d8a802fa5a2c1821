"""Tests of limits and leaving that upstreams state in their answers."""

from __future__ import annotations

import random

import msgspec.structs
import pytest

from papayastall import _decision_types as types
from papayastall import _frames
from papayastall import _owner_controller
from papayastall import _owner_state
from papayastall import _placement
from papayastall import _rate_limit
from papayastall import exceptions
from tests import decision_helpers

INSTANCE = "i-1"
NAME = f"{decision_helpers.UPSTREAM}/{INSTANCE}"
TICK_S = 0.05
WINDOW_S = 4.0
Outcome = types.Outcome
_Code = exceptions.ErrorCode


def announcement(
    started_ms: int = 1, sequence: int = 9, slots: int = 3
) -> types.UpstreamAnnouncement:
    return msgspec.structs.replace(
        decision_helpers.announcement(slots=slots),
        instance=INSTANCE,
        started_ms=started_ms,
        sequence=sequence,
    )


def make_owner(slots: int = 3) -> _owner_controller.OwnerController:
    controller = decision_helpers.owner(upstreams=0)
    controller.announce(-100.0, announcement(slots=slots))
    controller.tick(0.0)
    return controller


def speak(
    controller: _owner_controller.OwnerController,
    now_s: float,
    limit_per_s: float | None = None,
    is_leaving: bool = False,
    request_id: int = 100_000,
) -> list[types.OwnerAction]:
    """Run one request whose answer states a limit or leaving."""
    request = decision_helpers.owner_request(request_id)
    [action] = controller.submit(now_s, request)
    assert isinstance(action, types.Dispatch)
    actions = controller.note_answer(
        now_s, request_id, limit_per_s, is_leaving
    )
    return actions + controller.finished(now_s, request_id, Outcome.ANSWERED)


def find_code(actions: list[types.OwnerAction]) -> exceptions.ErrorCode | None:
    [action] = actions
    return action.code if isinstance(action, types.RefuseRequest) else None


@pytest.mark.parametrize("limit_per_s", [0.5, 1.0, 2.3, 7.0, 15.0, 60.0])
def test_a_rate_limit_is_used_and_not_exceeded(limit_per_s: float) -> None:
    limit = _rate_limit.RateLimit(limit_per_s, 0.0)
    sent_s: list[float] = []
    for tick in range(int(60 / TICK_S)):
        now_s = tick * TICK_S
        while limit.free_requests(now_s):
            limit.take(now_s)
            sent_s.append(now_s)
    allowed = limit_per_s * WINDOW_S + 2.0 + limit_per_s * TICK_S
    for start_s in sent_s:
        count = sum(start_s <= at_s < start_s + WINDOW_S for at_s in sent_s)
        assert count <= allowed
    assert len(sent_s) >= 0.95 * limit_per_s * 60 - 1


@pytest.mark.parametrize(
    ("value", "limit_per_s"),
    [
        (b"2.3", 2.3),
        (b"1", 1.0),
        (b"0", 0.0),
        (b"-1", None),
        (b"nan", None),
        (b"inf", None),
        (b"1e9", None),
        (b"", None),
        (b"9" * 400, None),
    ],
)
def test_a_limit_is_a_decimal_number(
    value: bytes, limit_per_s: float | None
) -> None:
    assert _rate_limit.parse_limit(value) == limit_per_s


# Guards against a way past the limit: trials, suspects, queued requests and
# last resorts are handed to the upstream by the same rule.
@pytest.mark.parametrize("seed", range(10))
def test_no_kind_of_request_passes_by_the_limit(seed: int) -> None:
    rng = random.Random(seed)
    controller = make_owner()
    limit_per_s = rng.choice([0.7, 1.0, 2.3, 5.0])
    speak(controller, 0.0, limit_per_s)
    sent_s: list[float] = []
    running: dict[int, float] = {}
    for tick in range(int(30 / TICK_S)):
        now_s = (tick + 1) * TICK_S
        actions = controller.tick(now_s)
        for request_id in [k for k, end in running.items() if end <= now_s]:
            del running[request_id]
            actions += controller.note_answer(
                now_s, request_id, limit_per_s, False
            )
            outcome = rng.choice([Outcome.ANSWERED, Outcome.BROKEN])
            actions += controller.finished(now_s, request_id, outcome)
        for number in range(rng.randrange(4)):
            hints = types.RequestHints(last_resort=rng.random() < 0.3)
            request = decision_helpers.owner_request(
                tick * 10 + number,
                rng.choice(
                    [decision_helpers.LOOKUP, decision_helpers.BOOKING]
                ),
                now_s + 3.0,
                fingerprint=rng.randrange(5),
                hints=hints,
            )
            actions += controller.submit(now_s, request)
        for action in actions:
            if isinstance(action, types.Dispatch):
                assert action.sends_once
                sent_s.append(now_s)
                running[action.request_id] = now_s + rng.uniform(0.05, 1.0)
    allowed = limit_per_s * WINDOW_S + 2.0
    for start_s in sent_s:
        count = sum(start_s <= at_s < start_s + WINDOW_S for at_s in sent_s)
        assert count <= allowed
    assert sent_s


# Guards against requests that wait although the limit can't serve them.
def test_what_a_limit_can_not_serve_in_time_is_refused_at_once() -> None:
    controller = make_owner()
    speak(controller, 0.0, 2.0)
    codes = [
        find_code(actions) if actions else None
        for actions in (
            controller.submit(
                0.1, decision_helpers.owner_request(number, deadline_s=3.0)
            )
            for number in range(6)
        )
    ]
    # The limit allows one request at 0.5 s and one at 1.0 s.
    assert codes == [None, None, *[_Code.OVERLOADED] * 4]


# Guards against a wait for a slot that is assumed where slots are free.
@pytest.mark.parametrize(
    ("has_open_slot", "wait_s"), [(True, 0.4), (False, 9)]
)
def test_a_request_waits_for_the_limit_only_where_slots_are_free(
    has_open_slot: bool, wait_s: float
) -> None:
    service = _owner_state.ServiceState(
        decision_helpers.DETECTION, mean_busy_s=9.0
    )
    wait = _placement.Wait(1, 2.0, 0.4, has_open_slot)
    request = decision_helpers.owner_request(1)
    assert _placement.expected_wait_s(service, request, wait) == wait_s


# Guards against requests that stay in the queue when a limit is named.
def test_a_new_limit_refuses_queued_requests_that_it_can_not_serve() -> None:
    controller = make_owner(slots=1)
    controller.submit(0.0, decision_helpers.owner_request(1, deadline_s=4.0))
    for number in range(2, 8):
        assert not controller.submit(
            0.0, decision_helpers.owner_request(number, deadline_s=4.0)
        )
    actions = controller.note_answer(0.1, 1, 1.0, False)
    refused = {
        action.request_id
        for action in actions
        if isinstance(action, types.RefuseRequest)
    }
    assert refused == {3, 4, 5, 6, 7}


def test_a_limit_is_lifted_by_an_answer_without_one() -> None:
    controller = make_owner()
    speak(controller, 0.0, 1.0)
    assert controller.load(0.1, decision_helpers.SERVICE).weight < 3.0
    speak(controller, 1.5)
    for number in range(3):
        [action] = controller.submit(
            1.6, decision_helpers.owner_request(number)
        )
        assert isinstance(action, types.Dispatch)
    load = controller.load(1.6, decision_helpers.SERVICE)
    assert load.notices == (types.UpstreamNotice(NAME, 1),)


# Guards against an upstream with a low limit that ingresses take for one that
# is steered away, so that it gets next to nothing.
def test_a_low_limit_is_not_taken_for_steering_away() -> None:
    controller = make_owner()
    speak(controller, 0.0, 0.2)
    view = decision_helpers.ingress(owners=1).owners(decision_helpers.SERVICE)
    view[0].note_load(0.0, controller.load(0.0, decision_helpers.SERVICE))
    assert not view[0].is_steered(0.1)


# Guards against a limit or leaving that an owner's new process does not know,
# although other nodes were told.
def test_a_new_owner_learns_from_the_ingress() -> None:
    notice = types.UpstreamNotice(NAME, 1, 1.0)
    request = decision_helpers.owner_request(1, deadline_s=3.0)
    request = msgspec.structs.replace(request, notices=(notice,))
    controller = make_owner()
    assert controller.submit(0.0, request) == []
    leaving = msgspec.structs.replace(
        request,
        request_id=2,
        notices=(types.UpstreamNotice(NAME, 1, None, True),),
    )
    controller = make_owner()
    assert find_code(controller.submit(0.0, leaving)) is _Code.LEAVING
    early = decision_helpers.owner(upstreams=0)
    assert find_code(early.submit(0.0, leaving)) is _Code.NO_UPSTREAM
    early.announce(1.0, announcement())
    again = decision_helpers.owner_request(3)
    assert find_code(early.submit(1.0, again)) is _Code.LEAVING


@pytest.mark.parametrize("has_spoken", [False, True])
def test_an_owner_that_knows_better_ignores_the_ingress(
    has_spoken: bool,
) -> None:
    controller = make_owner()
    started_ms = 0
    if has_spoken:
        speak(controller, 0.0)
        started_ms = 1
    notice = types.UpstreamNotice(NAME, started_ms, 1.0, True)
    request = msgspec.structs.replace(
        decision_helpers.owner_request(1), notices=(notice,)
    )
    [action] = controller.submit(0.0, request)
    assert isinstance(action, types.Dispatch)


# Guards against heartbeats that were sent before, or do not tell.
def test_an_upstream_that_says_it_is_leaving_stays_so_until_its_restart() -> (
    None
):
    controller = make_owner()
    speak(controller, 0.0, is_leaving=True)
    controller.announce(1.0, announcement(sequence=10))
    request = decision_helpers.owner_request(1)
    assert find_code(controller.submit(1.0, request)) is _Code.LEAVING
    assert not controller.adverts(1.0)
    controller.announce(2.0, announcement(started_ms=2, sequence=1))
    [action] = controller.submit(2.0, decision_helpers.owner_request(2))
    assert isinstance(action, types.Dispatch)


# Guards against an upstream without a known start that is taken for leaving
# for good, although it has been restarted.
def test_leaving_ends_with_the_lease_where_the_start_is_unknown() -> None:
    controller = decision_helpers.owner(upstreams=0)
    announced = decision_helpers.announcement(lease_s=3.0)
    controller.announce(0.0, announced)
    speak(controller, 0.0, is_leaving=True)
    controller.tick(10.0)
    controller.announce(10.0, announced)
    [action] = controller.submit(10.0, decision_helpers.owner_request(1))
    assert isinstance(action, types.Dispatch)


# Guards against a notice that is lost because an older load arrives after it.
def test_an_ingress_keeps_notices_and_passes_them_on() -> None:
    notice = types.UpstreamNotice(NAME, 1, 1.0)
    load = decision_helpers.load()
    controller = decision_helpers.ingress(owners=1)
    controller.note_load(0.0, msgspec.structs.replace(load, notices=(notice,)))
    controller.note_load(0.0, load)
    [forward] = controller.begin(1.0, decision_helpers.ingress_request(1))
    assert isinstance(forward, types.ForwardAttempt)
    assert forward.notices == (notice,)
    other = types.OwnerAdvert("10.0.0.7:7000", "visits", "domain-1", 3)
    controller.set_owner(1.0, other)
    controller.remove_owner(decision_helpers.OWNER)
    [forward] = controller.begin(2.0, decision_helpers.ingress_request(2))
    assert isinstance(forward, types.ForwardAttempt)
    assert (forward.owner, forward.notices) == (other.owner, (notice,))
    lifted = types.UpstreamNotice(NAME, 1)
    controller.note_load(3.0, msgspec.structs.replace(load, notices=(lifted,)))
    [forward] = controller.begin(3.0, decision_helpers.ingress_request(3))
    assert isinstance(forward, types.ForwardAttempt)
    assert forward.notices == ()


def test_notices_pass_a_link() -> None:
    notices = (
        types.UpstreamNotice(NAME, 1, 0.0),
        types.UpstreamNotice(NAME, 1, None, True),
    )
    load = msgspec.structs.replace(decision_helpers.load(), notices=notices)
    frames: list[_frames.Frame] = [
        _frames.LoadNotice(load),
        _frames.Open(
            1, "s", "r", True, 5, 1, b"GET", b"/", [], notices=notices
        ),
    ]
    for frame in frames:
        data = _frames.encode(frame, 0)
        size = _frames.HEADER.size
        header = _frames.decode_header(data[:size])
        assert _frames.decode_body(header, data[size:]) == frame


@pytest.mark.parametrize("limit_per_s", [-1.0, float("inf"), float("nan")])
def test_a_limit_that_is_no_rate_is_rejected(limit_per_s: float) -> None:
    notice = types.UpstreamNotice(NAME, 1, limit_per_s)
    load = msgspec.structs.replace(decision_helpers.load(), notices=(notice,))
    data = _frames.encode(_frames.LoadNotice(load), 0)
    size = _frames.HEADER.size
    with pytest.raises(exceptions.ProtocolError):
        _frames.decode_body(_frames.decode_header(data[:size]), data[size:])
