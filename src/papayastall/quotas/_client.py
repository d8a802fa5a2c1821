"""Tokens at one ingress: which requests run, wait or are refused."""

from __future__ import annotations

import collections
import collections.abc as cabc
import math

import msgspec

from papayastall import exceptions
from papayastall.quotas import _bounds
from papayastall.quotas import _messages
from papayastall.quotas import _seats

__all__ = [
    "Admit",
    "Client",
    "ClientAction",
    "Refuse",
    "SendAsk",
    "SendReturn",
]

ASK_TIMEOUT_S = 0.15
RETRY_PAUSE_S = 0.04
"""Pause before a question is repeated while a slot changes its holder."""
AVOID_S = 3.0
"""Time for which a seat that did not answer is not asked first; it doubles
with each further failure, up to ``MAX_AVOID_S``."""
MAX_AVOID_S = 24.0
MAX_AVOID_DOUBLINGS = 16
"""Keeps the power finite; ``MAX_AVOID_S`` is reached long before."""
MAX_SPARE = 64
DEMAND_TIME_S = 1.0
"""Time constant of the measured demand."""
UNDECIDED_S = 0.25
"""Time after an unanswered question in which requests do not wait."""
UNDECIDED_RETRY_AFTER_S = 1.0
"""A lost holder is replaced within three seconds."""
IDLE_S = 60.0
JOIN_S = 10.0
"""Time after the start in which a node lets nothing run without a token: it
may not know all members yet, and so not how small its part is."""
MAX_WAITING = 5_000
"""Requests of a team that may wait at once; bounds memory and messages."""
_Code = exceptions.ErrorCode


class Admit(msgspec.Struct, frozen=True):
    """Let a request run.

    :param is_own: whether without a token, as no holder was reached.
    """

    request_id: int
    team: str
    is_own: bool = False


class Refuse(msgspec.Struct, frozen=True):
    """Refuse a request."""

    request_id: int
    team: str
    code: exceptions.ErrorCode
    retry_after_s: float


class SendAsk(msgspec.Struct, frozen=True):
    """Send a question; call :meth:`Client.answered` with its answer.

    :param delay_s: pause before it.
    """

    ask_id: int
    peer: str
    ask: _messages.Ask
    timeout_s: float
    delay_s: float = 0.0


class SendReturn(msgspec.Struct, frozen=True):
    """Send a holder what was not used."""

    peer: str
    message: _messages.Return


ClientAction = Admit | Refuse | SendAsk | SendReturn


class _Question(msgspec.Struct):
    """A question about one team, with the seats that were asked.

    :param requests: those that wait for the answer.
    :param sent_s: time of the first attempt, from which tokens expire.
    """

    team: str
    ask_id: int
    requests: list[int]
    started_s: float
    sent_s: float
    peer: str
    spare: int
    returned: int
    asked: set[str] = msgspec.field(default_factory=set)


class _Team(msgspec.Struct):
    """What an ingress knows about one team.

    :param stock: ends and numbers of the tokens that are left.
    :param waiting: requests that arrived while a question was open.
    :param demand: decaying count of requests.
    :param unused: tokens that expired and were not returned yet.
    :param denied_until_s: the holder has no token before.
    :param denied: requests refused since that was known.
    :param period: the last one in which a request ran without a token.
    """

    name: str
    limits: _messages.Limits
    stock: collections.deque[tuple[float, int]] = msgspec.field(
        default_factory=collections.deque
    )
    waiting: list[int] = msgspec.field(default_factory=list)
    question: _Question | None = None
    demand: float = 0.0
    demand_s: float = 0.0
    unused: int = 0
    denied_until_s: float = -math.inf
    denied: int = 0
    undecided_until_s: float = -math.inf
    period: int = -1
    used_s: float = 0.0

    def use_limits(self, limits: _messages.Limits) -> None:
        """Use the limits in force; other ones may have other tokens."""
        if limits != self.limits:
            self.limits = limits
            self.denied_until_s = -math.inf

    def drop_expired(self, now_s: float) -> None:
        """Move tokens that have expired to the unused ones."""
        while self.stock and now_s >= self.stock[0][0]:
            self.unused += self.stock.popleft()[1]

    def take(self, now_s: float) -> bool:
        """Take a token from the stock; return whether there was one."""
        self.drop_expired(now_s)
        if not self.stock:
            return False
        until_s, count = self.stock.popleft()
        if count > 1:
            self.stock.appendleft((until_s, count - 1))
        return True

    def note_demand(self, now_s: float) -> None:
        """Count a request."""
        elapsed_s = max(0.0, now_s - self.demand_s)
        self.demand *= math.exp(-elapsed_s / DEMAND_TIME_S)
        self.demand += 1.0
        self.demand_s = now_s
        self.used_s = now_s


class Client:
    """Asks the holders of teams for tokens on behalf of one ingress.

    Methods return what to do, in order.

    :param started_s: when this process started.
    :param phase: returns a number from 0 to 1 for a team, which differs
        between nodes at random.
    """

    def __init__(
        self,
        bounds: _bounds.Bounds,
        started_s: float,
        phase: cabc.Callable[[str], float],
    ) -> None:
        self._started_s = started_s
        self._bounds = bounds
        self._phase = phase
        self._teams: dict[str, _Team] = {}
        self._questions: dict[int, _Question] = {}
        self._next_ask_id = 1
        self._holders: dict[int, str] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._contact = ""
        self._failures: collections.Counter[str] = collections.Counter()
        self._seats: tuple[str, ...] = ()
        self._nodes = 1

    def set_seats(self, seats: tuple[str, ...], nodes: int) -> None:
        """Set the nodes that may hold teams, and the number of all nodes."""
        if seats != self._seats:
            self._failures.clear()
        self._seats = seats
        self._nodes = nodes

    def admit(
        self,
        now_s: float,
        team_name: str,
        limits: _messages.Limits,
        request_id: int,
    ) -> list[ClientAction]:
        """Decide about a request, now or once a holder has answered."""
        team = self._teams.get(team_name)
        if team is None:
            team = self._teams[team_name] = _Team(team_name, limits)
        team.use_limits(limits)
        team.note_demand(now_s)
        if team.take(now_s):
            return [Admit(request_id, team_name)]
        if now_s < team.denied_until_s:
            return [self._deny(now_s, team, request_id)]
        if len(team.waiting) >= MAX_WAITING or now_s < team.undecided_until_s:
            return [self._decide_alone(now_s, team, request_id)]
        team.waiting.append(request_id)
        if team.question is not None:
            return []
        return self._ask_for_waiting(now_s, team)

    def cancel(self, team_name: str, request_id: int) -> None:
        """Forget a request whose caller waits no longer."""
        team = self._teams.get(team_name)
        if team is None:
            return
        if request_id in team.waiting:
            team.waiting.remove(request_id)
        question = team.question
        if question is not None and request_id in question.requests:
            # Its token is then kept, or returned, like a spare one.
            question.requests.remove(request_id)

    def answered(
        self, now_s: float, ask_id: int, answer: _messages.Answer | None
    ) -> list[ClientAction]:
        """Handle the answer to a question; ``None`` if there is none."""
        question = self._questions.pop(ask_id, None)
        if question is None:
            return []
        team = self._teams[question.team]
        slot = _seats.slot_of(team.name)
        if now_s >= question.sent_s + _bounds.TOKEN_TTL_S:
            # This process was paused: the tokens have expired.
            if answer is not None:
                team.unused += answer.spare
            return self._give_up(now_s, team, question)
        if answer is None:
            self._avoid(now_s, question.peer)
            if self._holders.get(slot) == question.peer:
                del self._holders[slot]
            return self._ask_again(now_s, team, question, "", 0.0)
        self._contact = question.peer
        self._failures.pop(question.peer, None)
        self._avoided_until_s.pop(question.peer, None)
        if not answer.decides:
            self._holders.pop(slot, None)
            pause_s = 0.0
            if not answer.holder or answer.holder in question.asked:
                pause_s = RETRY_PAUSE_S
            return self._ask_again(
                now_s, team, question, answer.holder, pause_s
            )
        if answer.holder:
            self._holders[slot] = answer.holder
        return self._use_answer(now_s, team, question, answer)

    def expire(self, now_s: float) -> list[ClientAction]:
        """Return expired tokens and forget idle teams; call it often."""
        actions: list[ClientAction] = []
        for seat, until_s in list(self._avoided_until_s.items()):
            if now_s >= until_s:
                del self._avoided_until_s[seat]
        for name, team in list(self._teams.items()):
            team.drop_expired(now_s)
            holder = self._holders.get(_seats.slot_of(name))
            if team.unused and team.question is None:
                if holder:
                    message = _messages.Return(
                        name, min(team.unused, _messages.MAX_TOKENS)
                    )
                    actions.append(SendReturn(holder, message))
                team.unused = 0
            if now_s - team.used_s > IDLE_S and team.question is None:
                if now_s - team.used_s > self._period_s(team):
                    del self._teams[name]
        return actions

    def _avoid(self, now_s: float, seat: str) -> None:
        doublings = min(self._failures[seat], MAX_AVOID_DOUBLINGS)
        avoid_s = min(MAX_AVOID_S, AVOID_S * 2.0**doublings)
        if now_s >= self._avoided_until_s.get(seat, now_s):
            self._failures[seat] += 1
        self._avoided_until_s[seat] = now_s + avoid_s

    def _period_s(self, team: _Team) -> float:
        period_s = self._bounds.own_period_s(
            team.limits, _round_up(self._nodes)
        )
        return 0.0 if period_s is None else period_s

    def _ask_for_waiting(
        self, now_s: float, team: _Team
    ) -> list[ClientAction]:
        elapsed_s = max(0.0, now_s - team.demand_s)
        per_s = team.demand * math.exp(-elapsed_s / DEMAND_TIME_S)
        spare = int(per_s / DEMAND_TIME_S * _bounds.TOKEN_TTL_S)
        question = _Question(
            team.name,
            0,
            team.waiting,
            now_s,
            now_s,
            "",
            min(MAX_SPARE, spare),
            min(team.unused, _messages.MAX_TOKENS),
        )
        team.waiting = []
        team.unused = 0
        team.question = question
        slot = _seats.slot_of(team.name)
        peer = self._holders.get(slot, "")
        if not peer or now_s < self._avoided_until_s.get(peer, now_s):
            peer = self._find_seat(now_s, slot, question)
        return self._send(now_s, team, question, peer, 0.0)

    def _ask_again(
        self,
        now_s: float,
        team: _Team,
        question: _Question,
        holder: str,
        pause_s: float,
    ) -> list[ClientAction]:
        # The holder may have accepted them, although its answer is lost.
        question.returned = 0
        peer = holder
        if not peer or now_s < self._avoided_until_s.get(peer, now_s):
            slot = _seats.slot_of(team.name)
            peer = self._find_seat(now_s, slot, question)
        return self._send(now_s, team, question, peer, pause_s)

    def _find_seat(self, now_s: float, slot: int, question: _Question) -> str:
        """Return the seat to ask: first those that were not asked.

        While seats don't answer, the one that answered last goes first.
        """
        seats = [
            seat
            for seat in _seats.rank_seats(slot, self._seats)
            if now_s >= self._avoided_until_s.get(seat, now_s)
        ]
        if self._failures and self._contact in seats:
            seats.remove(self._contact)
            seats.insert(0, self._contact)
        fresh = [seat for seat in seats if seat not in question.asked]
        return next(iter(fresh or seats), "")

    def _send(
        self,
        now_s: float,
        team: _Team,
        question: _Question,
        peer: str,
        pause_s: float,
    ) -> list[ClientAction]:
        left_s = question.started_s + _bounds.ASK_LIMIT_S - now_s - pause_s
        if not peer or left_s <= 0.001:
            return self._give_up(now_s, team, question)
        # A seat that a holder can reach passes the question on, if this
        # node has asked in vain before.
        forwards = any(
            now_s < until_s for until_s in self._avoided_until_s.values()
        )
        question.peer = peer
        question.asked.add(peer)
        question.ask_id = self._next_ask_id
        question.sent_s = now_s
        self._next_ask_id += 1
        self._questions[question.ask_id] = question
        ask = _messages.Ask(
            team.name,
            min(len(question.requests), _messages.MAX_TOKENS),
            question.spare,
            question.returned,
            team.limits,
            forwards,
        )
        return [
            SendAsk(
                question.ask_id,
                peer,
                ask,
                min(ASK_TIMEOUT_S, left_s),
                pause_s,
            )
        ]

    def _use_answer(
        self,
        now_s: float,
        team: _Team,
        question: _Question,
        answer: _messages.Answer,
    ) -> list[ClientAction]:
        team.question = None
        requests = question.requests
        granted = min(answer.granted, len(requests))
        actions: list[ClientAction] = [
            Admit(request_id, team.name) for request_id in requests[:granted]
        ]
        kept = answer.spare + answer.granted - granted
        if kept:
            until_s = question.sent_s + _bounds.TOKEN_TTL_S
            team.stock.append((until_s, kept))
        if granted < len(requests):
            team.denied_until_s = now_s + answer.wait_s
            team.denied = 0
            actions += [
                self._deny(now_s, team, request_id)
                for request_id in requests[granted:]
            ]
        return actions + self._serve_waiting(now_s, team)

    def _serve_waiting(self, now_s: float, team: _Team) -> list[ClientAction]:
        actions: list[ClientAction] = []
        while team.waiting and team.take(now_s):
            actions.append(Admit(team.waiting.pop(0), team.name))
        if now_s < team.denied_until_s:
            actions += [
                self._deny(now_s, team, request_id)
                for request_id in team.waiting
            ]
            team.waiting.clear()
        if team.waiting:
            actions += self._ask_for_waiting(now_s, team)
        return actions

    def _deny(self, now_s: float, team: _Team, request_id: int) -> Refuse:
        """Refuse a request until its token is there.

        The next tokens go to the requests that were refused before it.
        """
        wait_s = team.denied_until_s - now_s
        wait_s += team.denied / team.limits.rate_per_s
        team.denied += 1
        return Refuse(request_id, team.name, _Code.QUOTA_EXCEEDED, wait_s)

    def _give_up(
        self, now_s: float, team: _Team, question: _Question
    ) -> list[ClientAction]:
        team.question = None
        team.undecided_until_s = now_s + UNDECIDED_S
        requests = question.requests + team.waiting
        team.waiting = []
        return [
            self._decide_alone(now_s, team, request_id)
            for request_id in requests
        ]

    def _decide_alone(
        self, now_s: float, team: _Team, request_id: int
    ) -> ClientAction:
        period_s = self._bounds.own_period_s(
            team.limits, _round_up(self._nodes)
        )
        if period_s is not None and now_s >= self._started_s + JOIN_S:
            place_s = now_s + self._phase(team.name) * period_s
            period = int(place_s // period_s)
            begun_s = place_s - period * period_s
            if period != team.period and begun_s < self._bounds.window_s:
                team.period = period
                return Admit(request_id, team.name, is_own=True)
        return Refuse(
            request_id,
            team.name,
            _Code.QUOTA_UNDECIDED,
            UNDECIDED_RETRY_AFTER_S,
        )


def _round_up(nodes: int) -> int:
    """Return the next power of two.

    The period in which a node may decide by itself follows from the number
    of nodes; if it changed with each of them, every change would begin a new
    period at every node.
    """
    return 1 << max(0, nodes - 1).bit_length()
