"""The owner's side of the ledger of healthy capacity.

The owner reports its upstreams, on change only, and asks for a permit
before it takes one out of its service. Its commands are numbered and go out
one at a time, so that the ledger never sees an older state after a newer.
"""

from __future__ import annotations

import dataclasses
import typing as t

import anyio
import anyio.abc

from papayastall import _control_commands as commands
from papayastall import _decision_types
from papayastall import _groups
from papayastall import _owner_state
from papayastall import exceptions
from papayastall import metrics

__all__ = ["LedgerSource", "PermitClient"]

REPORT_INTERVAL_S = 0.5
RENEW_INTERVAL_S = 20.0
CALL_TIMEOUT_S = 3.0

_Code = exceptions.ErrorCode
_Reported = commands.UpstreamReportState
_Standing = _owner_state.Standing


class LedgerSource(t.Protocol):
    """What the client reads of its node and tells it."""

    def list_upstreams(self) -> list[_owner_state.UpstreamView]:
        """Return the upstreams that this node owns."""

    def config_index(self) -> int:
        """Return the index of the config in force."""

    def answer_permit(self, upstream: str, granted: bool) -> None:
        """Take in the answer to an ejection's permit."""


@dataclasses.dataclass(slots=True)
class _Question:
    upstream: str
    service: str
    reason: commands.PermitReason
    done: anyio.Event
    result: commands.PermitResult | None = None


class PermitClient:
    """Reports upstreams and asks for permits, for one owner.

    :param owner: link address of this node.
    :param epoch: start of this process; later starts are greater.
    """

    def __init__(
        self,
        groups: _groups.GroupClient,
        owner: str,
        epoch: int,
        source: LedgerSource,
        counters: metrics.Metrics,
    ) -> None:
        self._groups = groups
        self._owner = owner
        self._epoch = epoch
        self._source = source
        self._counters = counters
        self._sequence = 0
        self._reported: dict[str, commands.UpstreamReport] = {}
        self._needs_full = True
        self._renew_s = 0.0
        self._questions: list[_Question] = []
        self._asked = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Report and ask in ``tasks``."""
        self._tasks = tasks
        tasks.start_soon(self._run)

    def ask(self, action: _decision_types.AskPermit) -> None:
        """Ask for a permit to eject; the source is told the answer."""
        assert self._tasks is not None
        self._tasks.start_soon(self._ask_to_eject, action)

    def release(self, action: _decision_types.ReleasePermit) -> None:
        """Give a permit back: the next report says what is true."""
        self._reported.pop(action.upstream, None)
        self._asked.set()

    async def ask_to_leave(self, upstream: str, service: str) -> None:
        """Ask for a permit to take an upstream out as planned.

        :raises papayastall.exceptions.RefusedError: the service would fall
            under its floor, or no control replica leads.
        """
        result = await self._ask(
            upstream, service, commands.PermitReason.LEAVING
        )
        if result is None:
            raise exceptions.RefusedError(
                _Code.NO_LEADER,
                "no control replica answered; try again",
                step="drain",
            )
        if result.state is not commands.PermitState.GRANTED:
            raise exceptions.RefusedError(
                _Code.FLOOR,
                f"{result.state.name.lower()}: {service} has "
                f"{result.healthy_slots} healthy slots and a floor of "
                f"{result.floor_slots}; add upstreams or wait for others",
                step="drain",
                peer=upstream,
            )

    async def _ask_to_eject(self, action: _decision_types.AskPermit) -> None:
        result = await self._ask(
            action.upstream, action.service, commands.PermitReason.EJECTION
        )
        granted = (
            result is not None and result.state is commands.PermitState.GRANTED
        )
        counter = metrics.Counter.PERMITS_DENIED
        if granted:
            counter = metrics.Counter.EJECTIONS
        self._counters.count(counter, service=action.service)
        self._source.answer_permit(action.upstream, granted)

    async def _ask(
        self, upstream: str, service: str, reason: commands.PermitReason
    ) -> commands.PermitResult | None:
        question = _Question(upstream, service, reason, anyio.Event())
        self._questions.append(question)
        self._asked.set()
        await question.done.wait()
        return question.result

    async def _run(self) -> None:
        while True:
            self._asked = anyio.Event()
            questions, self._questions = self._questions, []
            try:
                await self._report()
                for question in questions:
                    question.result = await self._put(question)
            except exceptions.PapayastallError:
                # Without control there are no permits; steering goes on.
                self._needs_full = True
            for question in questions:
                question.done.set()
            with anyio.move_on_after(REPORT_INTERVAL_S):
                await self._asked.wait()

    async def _report(self) -> None:
        current = self._read_upstreams()
        changes = self._find_changes(current)
        now_s = anyio.current_time()
        if not changes and not self._needs_full and now_s < self._renew_s:
            return
        if not current and not self._reported and not changes:
            return
        if self._needs_full:
            changes = tuple(current.values())
        report = commands.ReportUpstreams(
            self._owner,
            self._epoch,
            self._next_sequence(),
            self._needs_full,
            changes,
        )
        result = await self._call(commands.Command(report_upstreams=report))
        assert result.report is not None
        self._needs_full = (
            result.report.state is not commands.ReportState.ACCEPTED
        )
        if not self._needs_full:
            self._reported = current
            self._renew_s = now_s + RENEW_INTERVAL_S

    def _find_changes(
        self, current: dict[str, commands.UpstreamReport]
    ) -> tuple[commands.UpstreamReport, ...]:
        changes = [
            report
            for name, report in current.items()
            if self._reported.get(name) != report
        ]
        for name, report in self._reported.items():
            if name not in current:
                changes.append(
                    dataclasses.replace(report, state=_Reported.GONE)
                )
        return tuple(changes)

    def _read_upstreams(self) -> dict[str, commands.UpstreamReport]:
        return {
            view.upstream: commands.UpstreamReport(
                view.upstream,
                view.service,
                view.slots,
                _Reported.SERVING if _serves(view) else _Reported.NOT_SERVING,
            )
            for view in self._source.list_upstreams()
        }

    async def _put(self, question: _Question) -> commands.PermitResult | None:
        ask = commands.AskPermit(
            self._owner,
            self._epoch,
            self._next_sequence(),
            question.upstream,
            question.service,
            question.reason,
            self._source.config_index(),
        )
        result = await self._call(commands.Command(ask_permit=ask))
        permit = result.permit
        if permit is not None and permit.state is commands.PermitState.RESYNC:
            self._needs_full = True
        return permit

    async def _call(self, command: commands.Command) -> commands.Result:
        return await self._groups.call(
            commands.CONTROL_GROUP, command, CALL_TIMEOUT_S
        )

    def _next_sequence(self) -> int:
        self._sequence += 1
        return self._sequence


def _serves(view: _owner_state.UpstreamView) -> bool:
    if view.state is not _decision_types.UpstreamState.READY:
        return False
    if view.leaving:
        return False
    return view.standing in (_Standing.HEALTHY, _Standing.RETURNING)
