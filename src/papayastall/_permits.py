"""Client for the permit table: an owner's reports and permit requests.

The commands of an owner are numbered and sent one at a time, so that a
delayed copy of an earlier one has no effect.
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

__all__ = ["NoPermits", "PermitClient", "PermitSession"]

CALL_TIMEOUT_S = 3.0
REPORT_INTERVAL_S = 0.25
REPORT_RETRY_DELAY_S = 2.0
LEASE_RENEWAL_INTERVAL_S = 300.0
MAX_PERMIT_ATTEMPTS = 3
MAX_UPSTREAMS_PER_REPORT = 500

_Code = exceptions.ErrorCode
_Report = commands.UpstreamReportState
_State = commands.PermitState

ListReports = cabc.Callable[[], cabc.Iterable[commands.UpstreamReport]]


class PermitSession:
    """An owner's session with the permit table.

    It numbers the commands and finds what the next report must contain.

    :param epoch: number of this start of the process; grows with each start.
    :ivar held: upstreams whose permits this owner holds.
    """

    def __init__(self, owner: str, epoch: int) -> None:
        self.owner = owner
        self.epoch = epoch
        self.held: set[str] = set()
        self._sequence = 0
        self._reported: dict[str, commands.UpstreamReport] = {}
        self._is_synced = False

    def next_sequence(self) -> int:
        """Return the sequence number of the next command."""
        self._sequence += 1
        return self._sequence

    def make_report(
        self, current: cabc.Iterable[commands.UpstreamReport]
    ) -> commands.ReportUpstreams | None:
        """Return the next report, or ``None`` without changes.

        An upstream with a permit is reported as not serving until the permit
        is released.

        :param current: the owner's upstreams as they are now.
        """
        wanted = {
            report.upstream: self._apply_held(report) for report in current
        }
        if not self._is_synced:
            return self._make(full=True, reports=list(wanted.values()))
        changed = [
            report
            for upstream, report in wanted.items()
            if self._reported.get(upstream) != report
        ]
        changed += [
            msgspec.structs.replace(report, state=_Report.GONE)
            for upstream, report in self._reported.items()
            if upstream not in wanted and report.state is not _Report.GONE
        ]
        if not changed:
            return None
        return self._make(
            full=False, reports=changed[:MAX_UPSTREAMS_PER_REPORT]
        )

    def make_renewal(self) -> commands.ReportUpstreams:
        """Return a report without changes, which only renews the lease."""
        return self._make(full=False, reports=[])

    def _apply_held(
        self, report: commands.UpstreamReport
    ) -> commands.UpstreamReport:
        if report.upstream not in self.held:
            return report
        return msgspec.structs.replace(report, state=_Report.NOT_SERVING)

    def _make(
        self, full: bool, reports: list[commands.UpstreamReport]
    ) -> commands.ReportUpstreams:
        return commands.ReportUpstreams(
            self.owner, self.epoch, self.next_sequence(), full, tuple(reports)
        )

    def note_reported(
        self,
        report: commands.ReportUpstreams,
        result: commands.ReportResult,
    ) -> None:
        """Apply the result of a report."""
        match result.state:
            case commands.ReportState.ACCEPTED:
                self._is_synced = True
                if report.full:
                    self._reported.clear()
                for reported in report.upstreams:
                    self._reported[reported.upstream] = reported
                    if reported.state is _Report.GONE:
                        del self._reported[reported.upstream]
            case commands.ReportState.STALE:
                self.note_stale(result.epoch)
            case commands.ReportState.RESYNC:
                self._is_synced = False

    def note_stale(self, epoch: int) -> None:
        """Start a new epoch, above the one in the permit table."""
        self.epoch = max(self.epoch, epoch) + 1
        self._sequence = 0
        self._is_synced = False

    def note_result_lost(self) -> None:
        """Make the next report a full one, as a command's result was lost."""
        self._is_synced = False

    def note_permit(
        self, ask: commands.AskPermit, result: commands.PermitResult
    ) -> None:
        """Apply the result of a permit request."""
        match result.state:
            case _State.GRANTED:
                self.held.add(ask.upstream)
                reported = self._reported.get(ask.upstream)
                if reported is not None:
                    self._reported[ask.upstream] = self._apply_held(reported)
            case _State.STALE:
                self.note_stale(result.epoch)
            case _State.RESYNC:
                self._is_synced = False


class NoPermits:
    """Permits of a node whose services have no floors.

    Every ejection is denied, so that upstreams are only steered away.

    :param answered: called with the upstream and the decision on each
        :meth:`ask`.
    """

    def __init__(self, answered: cabc.Callable[[str, bool], None]) -> None:
        self._answered = answered

    def ask(self, action: _decision_types.AskPermit) -> None:
        """Deny a permit by a callback that runs after this method returns."""
        loop = asyncio.get_running_loop()
        loop.call_soon(self._answered, action.upstream, False)

    def release(self, action: _decision_types.ReleasePermit) -> None:
        """Do nothing, as no ejection permit is ever held."""

    def release_upstream(self, upstream: str) -> None:
        """Do nothing, as permits of :meth:`request` are not kept."""

    async def request(
        self,
        upstream: str,
        service_name: str,
        reason: commands.PermitReason,
    ) -> commands.PermitResult:
        """Grant an operator's request, as there is no floor to keep."""
        return commands.PermitResult(_State.GRANTED, 0, 0, 0, 0)


class PermitClient:
    """Reports upstreams to the permit table and requests permits.

    A node has one.

    :param list_reports: returns the owner's upstreams as they are now.
    :param get_config_index: returns the index of the config in force here.
    :param answered: called with the upstream and the decision on each
        :meth:`ask`.
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
        self._session = PermitSession(owner, epoch)
        self._group_client = group_client
        self._list_reports = list_reports
        self._get_config_index = get_config_index
        self._answered = answered
        self._lock = anyio.Lock()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._renewed_s = -math.inf

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start to report changes, in ``tasks``."""
        self._tasks = tasks
        tasks.start_soon(self._run)

    def ask(self, action: _decision_types.AskPermit) -> None:
        """Request an ejection permit; ``answered`` gets the decision."""
        assert self._tasks is not None
        self._tasks.start_soon(self._ask_ejection, action)

    def release(self, action: _decision_types.ReleasePermit) -> None:
        """Release the permit of an upstream that returns or was removed."""
        self._session.held.discard(action.upstream)

    def release_upstream(self, upstream: str) -> None:
        """Release a permit that :meth:`request` obtained."""
        self._session.held.discard(upstream)

    async def request(
        self,
        upstream: str,
        service_name: str,
        reason: commands.PermitReason,
    ) -> commands.PermitResult:
        """Request a permit and return the decision.

        :raises papayastall.exceptions.UnreachableError: no decision came in
            time; no permit is held.
        """
        async with self._lock:
            for _ in range(MAX_PERMIT_ATTEMPTS):
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
            owner=self._session.owner,
            epoch=self._session.epoch,
            sequence=self._session.next_sequence(),
            upstream=upstream,
            service_name=service_name,
            reason=reason,
            config_index=self._get_config_index(),
        )
        result = await self._call(commands.Command(ask_permit=ask))
        assert result.permit is not None
        self._session.note_permit(ask, result.permit)
        return result.permit

    async def _run(self) -> None:
        while True:
            delay_s = REPORT_INTERVAL_S
            try:
                async with self._lock:
                    await self._report()
            except exceptions.PapayastallError:
                delay_s = REPORT_RETRY_DELAY_S
            await anyio.sleep(delay_s)

    async def _report(self) -> None:
        report = self._session.make_report(self._list_reports())
        if report is None:
            if clock.now_s() - self._renewed_s < LEASE_RENEWAL_INTERVAL_S:
                return
            report = self._session.make_renewal()
        result = await self._call(commands.Command(report_upstreams=report))
        assert result.report is not None
        self._session.note_reported(report, result.report)
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
            self._session.note_result_lost()
            raise
