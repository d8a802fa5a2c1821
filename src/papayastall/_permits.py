"""Permits of an owner: its reports to the ledger, and what it asks for.

All commands of an owner go out one after another, numbered, so that a late
copy of an earlier one changes nothing.
"""

from __future__ import annotations

import asyncio
import collections.abc as cabc
import math

import anyio
import anyio.abc
import msgspec.structs

from papayastall import _control_calls
from papayastall import _control_commands as commands
from papayastall import _decision_types
from papayastall import _peering
from papayastall import clock
from papayastall import exceptions

__all__ = ["NoPermits", "PermitClient", "PermitLedger"]

CALL_TIMEOUT_S = 3.0
REPORT_INTERVAL_S = 0.25
REPORT_RETRY_S = 2.0
RENEW_INTERVAL_S = 300.0
MAX_ATTEMPTS = 3
MAX_REPORT_UPSTREAMS = 500

_Code = exceptions.ErrorCode
_Report = commands.UpstreamReportState
_State = commands.PermitState

ListReports = cabc.Callable[[], cabc.Iterable[commands.UpstreamReport]]


class PermitLedger:
    """What an owner has told the ledger, and what differs from it now.

    :param epoch: start of this process; greater at each start.
    """

    def __init__(self, owner: str, epoch: int) -> None:
        self.owner = owner
        self.epoch = epoch
        self.held: set[str] = set()
        self._sequence = 0
        self._told: dict[str, commands.UpstreamReport] = {}
        self._is_known = False

    def count_up(self) -> int:
        """Return the number of the next command."""
        self._sequence += 1
        return self._sequence

    def make_report(
        self, current: cabc.Iterable[commands.UpstreamReport]
    ) -> commands.ReportUpstreams | None:
        """Return what the ledger must be told; ``None`` if nothing.

        An upstream under a permit is told as out until it is released.
        """
        wanted = {report.upstream: self._as_held(report) for report in current}
        if not self._is_known:
            return self._make(full=True, reports=list(wanted.values()))
        changed = [
            report
            for upstream, report in wanted.items()
            if self._told.get(upstream) != report
        ]
        changed += [
            msgspec.structs.replace(report, state=_Report.GONE)
            for upstream, report in self._told.items()
            if upstream not in wanted and report.state is not _Report.GONE
        ]
        if not changed:
            return None
        return self._make(full=False, reports=changed[:MAX_REPORT_UPSTREAMS])

    def make_renewal(self) -> commands.ReportUpstreams:
        """Return a report without changes, which renews the lease."""
        return self._make(full=False, reports=[])

    def _as_held(
        self, report: commands.UpstreamReport
    ) -> commands.UpstreamReport:
        if report.upstream not in self.held:
            return report
        return msgspec.structs.replace(report, state=_Report.NOT_SERVING)

    def _make(
        self, full: bool, reports: list[commands.UpstreamReport]
    ) -> commands.ReportUpstreams:
        return commands.ReportUpstreams(
            self.owner, self.epoch, self.count_up(), full, tuple(reports)
        )

    def note_reported(
        self,
        report: commands.ReportUpstreams,
        result: commands.ReportResult,
    ) -> None:
        """Take in the result of a report."""
        match result.state:
            case commands.ReportState.ACCEPTED:
                self._is_known = True
                if report.full:
                    self._told.clear()
                for told in report.upstreams:
                    self._told[told.upstream] = told
                    if told.state is _Report.GONE:
                        del self._told[told.upstream]
            case commands.ReportState.STALE:
                self.note_stale(result.epoch)
            case commands.ReportState.RESYNC:
                self._is_known = False

    def note_stale(self, epoch: int) -> None:
        """Start over above an epoch that the ledger knows of this owner."""
        self.epoch = max(self.epoch, epoch) + 1
        self._sequence = 0
        self._is_known = False

    def note_lost(self) -> None:
        """Take in that a command's result was lost: tell all again."""
        self._is_known = False

    def note_permit(
        self, ask: commands.AskPermit, result: commands.PermitResult
    ) -> None:
        """Take in the answer to a permit that was asked for."""
        match result.state:
            case _State.GRANTED:
                self.held.add(ask.upstream)
                told = self._told.get(ask.upstream)
                if told is not None:
                    self._told[ask.upstream] = self._as_held(told)
            case _State.STALE:
                self.note_stale(result.epoch)
            case _State.RESYNC:
                self._is_known = False


class NoPermits:
    """Denies every ejection: without floors, upstreams are only steered.

    :param answered: told of each permit that :meth:`ask` asked for.
    """

    def __init__(self, answered: cabc.Callable[[str, bool], None]) -> None:
        self._answered = answered

    def ask(self, action: _decision_types.AskPermit) -> None:
        """Deny the permit, once the asker has done what it is at."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self._answered, action.upstream, False)

    def release(self, action: _decision_types.ReleasePermit) -> None:
        """Take a permit back; there is none."""

    def release_upstream(self, upstream: str) -> None:
        """Take back a permit that :meth:`request` gave; none is held."""

    async def request(
        self,
        upstream: str,
        service_name: str,
        reason: commands.PermitReason,
    ) -> commands.PermitResult:
        """Grant whatever operators ask for, as no floor forbids it."""
        return commands.PermitResult(_State.GRANTED, 0, 0, 0, 0)


class PermitClient:
    """Keeps the ledger told and asks for permits; one per node.

    :param list_reports: the owner's upstreams as they are now.
    :param get_config_index: of the config in force here.
    :param answered: told of each permit that :meth:`ask` asked for.
    """

    def __init__(
        self,
        owner: str,
        epoch: int,
        group_client: _control_calls.GroupClient,
        list_reports: ListReports,
        get_config_index: cabc.Callable[[], int],
        answered: cabc.Callable[[str, bool], None],
    ) -> None:
        self._ledger = PermitLedger(owner, epoch)
        self._group_client = group_client
        self._list_reports = list_reports
        self._get_config_index = get_config_index
        self._answered = answered
        self._lock = anyio.Lock()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._renewed_s = -math.inf

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Report changes from now on."""
        self._tasks = tasks
        tasks.start_soon(self._run)

    def ask(self, action: _decision_types.AskPermit) -> None:
        """Ask for an ejection; the answer comes through ``answered``."""
        assert self._tasks is not None
        self._tasks.start_soon(self._ask_ejection, action)

    def release(self, action: _decision_types.ReleasePermit) -> None:
        """Give back the permit of an upstream that returns or is gone."""
        self._ledger.held.discard(action.upstream)

    def release_upstream(self, upstream: str) -> None:
        """Give back a permit that :meth:`request` got."""
        self._ledger.held.discard(upstream)

    async def request(
        self,
        upstream: str,
        service_name: str,
        reason: commands.PermitReason,
    ) -> commands.PermitResult:
        """Ask for a permit and return the decision.

        :raises papayastall.exceptions.UnreachableError: no decision in
            time; there is no permit.
        """
        async with self._lock:
            for _ in range(MAX_ATTEMPTS):
                await self._report()
                result = await self._request(upstream, service_name, reason)
                if result.state not in (_State.STALE, _State.RESYNC):
                    break
        return result

    async def _ask_ejection(self, action: _decision_types.AskPermit) -> None:
        granted = False
        try:
            result = await self.request(
                action.upstream,
                action.service,
                commands.PermitReason.EJECTION,
            )
            granted = result.state is _State.GRANTED
        except exceptions.PapayastallError:
            granted = False
        self._answered(action.upstream, granted)

    async def _request(
        self,
        upstream: str,
        service_name: str,
        reason: commands.PermitReason,
    ) -> commands.PermitResult:
        ask = commands.AskPermit(
            owner=self._ledger.owner,
            epoch=self._ledger.epoch,
            sequence=self._ledger.count_up(),
            upstream=upstream,
            service_name=service_name,
            reason=reason,
            config_index=self._get_config_index(),
        )
        result = await self._call(commands.Command(ask_permit=ask))
        assert result.permit is not None
        self._ledger.note_permit(ask, result.permit)
        return result.permit

    async def _run(self) -> None:
        while True:
            delay_s = REPORT_INTERVAL_S
            try:
                async with self._lock:
                    await self._report()
            except exceptions.PapayastallError:
                delay_s = REPORT_RETRY_S
            await anyio.sleep(delay_s)

    async def _report(self) -> None:
        report = self._ledger.make_report(self._list_reports())
        if report is None:
            if clock.now_s() - self._renewed_s < RENEW_INTERVAL_S:
                return
            report = self._ledger.make_renewal()
        result = await self._call(commands.Command(report_upstreams=report))
        assert result.report is not None
        self._ledger.note_reported(report, result.report)
        if result.report.state is commands.ReportState.ACCEPTED:
            self._renewed_s = clock.now_s()

    async def _call(self, command: commands.Command) -> commands.Result:
        try:
            return await self._group_client.call(
                _peering.Channel.PERMIT,
                commands.CONTROL_GROUP,
                command,
                CALL_TIMEOUT_S,
            )
        except BaseException:
            self._ledger.note_lost()
            raise
