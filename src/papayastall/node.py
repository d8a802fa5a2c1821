"""One node: builds its parts, starts them, and stops them in order."""

from __future__ import annotations

import contextlib
import os
import random
import signal
import time

import anyio
import anyio.abc

from papayastall import _announcements
from papayastall import _attempts
from papayastall import _control_app
from papayastall import _control_commands as commands
from papayastall import _control_plane
from papayastall import _credentials
from papayastall import _decision_types
from papayastall import _gossip
from papayastall import _http_server
from papayastall import _ingress_controller
from papayastall import _journal
from papayastall import _links
from papayastall import _membership
from papayastall import _membership_types
from papayastall import _node_calls
from papayastall import _owner_controller
from papayastall import _owner_state
from papayastall import _peering
from papayastall import _service_policy
from papayastall import _tls
from papayastall import blackboard as blackboards
from papayastall import clock
from papayastall import documents
from papayastall import exceptions
from papayastall import histograms
from papayastall import ingress
from papayastall import logs
from papayastall import metrics
from papayastall import owner
from papayastall import settings

__all__ = ["Node", "run"]

ADVERT_INTERVAL_S = 0.2
LEAVE_SPREAD_S = 2.0
SUSPECT_TIMEOUT_S = 2.0
DRAIN_POLL_S = 0.05
MIN_RENEW_MS = 100


def run(node_settings: settings.NodeSettings) -> None:
    """Run a node until SIGTERM or SIGINT, then stop it without a cut."""
    anyio.run(_run, node_settings)


async def _run(node_settings: settings.NodeSettings) -> None:
    log_file = logs.LogFile(node_settings.log_file)
    log_file.start()
    try:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT
        ) as signals:
            async with anyio.create_task_group() as tasks:
                node = Node(node_settings)
                await node.start(tasks)
                async for _ in signals:
                    break
                await node.close()
                tasks.cancel_scope.cancel()
    finally:
        log_file.close()


class Node:
    """All parts of one node.

    :param node_settings: checked settings of this process.
    """

    def __init__(self, node_settings: settings.NodeSettings) -> None:
        self.settings = node_settings
        self.boot_ms = int(time.time() * 1000)
        self._rng = random.Random(int.from_bytes(os.urandom(8), "big"))
        self.blackboard = blackboards.Blackboard(
            node_settings.link_address, node_settings.failure_domain
        )
        self.counters = metrics.Metrics(
            node_settings.statsd_address, node_settings.link_address
        )
        self.histograms = histograms.HistogramTable()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._build_links()
        self._build_membership()
        self._build_control()
        self._build_request_path()
        self._build_servers()

    def _build_links(self) -> None:
        node_settings = self.settings
        link_settings = _links.LinkSettings(
            address=node_settings.link_address,
            boot_id=self.boot_ms,
            failure_domain=node_settings.failure_domain,
            listen_address=node_settings.link_listen_address,
            server_tls=_tls.server_context(node_settings),
            client_tls=_tls.client_context(node_settings),
        )
        self.links = _links.Links(
            link_settings,
            self.counters,
            lambda: self.blackboard.config_index,
            lambda peer, index: self.control.config.observe(peer, index),
        )

    def _build_membership(self) -> None:
        node_settings = self.settings
        member_settings = _membership.MembershipSettings(
            address=node_settings.link_address,
            datagram_address=node_settings.gossip_address,
            failure_domain=node_settings.failure_domain,
            boot_ms=self.boot_ms,
            seeds=tuple(node_settings.seeds),
        )
        self.membership = _membership.Membership(
            member_settings, self._rng, clock.now_s()
        )
        key = b"insecure"
        if node_settings.cluster_key_file is not None:
            key = _credentials.read_secret(node_settings.cluster_key_file)
        self.gossiper = _gossip.Gossiper(
            self.membership,
            node_settings.gossip_address,
            [key],
            self._note_membership,
        )

    def _build_control(self) -> None:
        node_settings = self.settings
        folder = node_settings.data_folder
        control_settings = _control_plane.ControlSettings(
            node=node_settings.link_address,
            control=tuple(node_settings.control_replicas),
            claim_groups=node_settings.claim_groups,
            data_folder=None if folder is None else str(folder),
            epoch=self.boot_ms,
        )
        hooks = _control_plane.ControlHooks(
            list_members=self.list_others,
            put_in_force=self.put_in_force,
            list_reports=self.list_reports,
            permit_answered=self.permit_answered,
            replica_failed=self._note_replica_failure,
            observe_slots=self.observe_slots,
        )
        self.control = _control_plane.ControlPlane(
            control_settings, self.links, hooks, self._rng
        )

    def _build_request_path(self) -> None:
        address = self.settings.link_address
        self.owner_controller = _owner_controller.OwnerController(
            address, self.settings.failure_domain, self._rng
        )
        self.owner = owner.Owner(
            self.links,
            self.owner_controller,
            self.control.permits,
            self.counters,
            self.control.claims,
            self.spread_suspect,
        )
        self.ingress_controller = _ingress_controller.IngressController(
            address, self._rng
        )
        self.attempts = _attempts.AttemptSender(
            self.links, self.ingress_controller, self._rng, self.counters
        )
        self.ingress = ingress.Ingress(
            self.blackboard,
            self.control.config.is_ready,
            self.attempts,
            self.counters,
            self.control.claims,
            note_sample=lambda sample: self.histograms.record(
                clock.now_s(), sample
            ),
        )

    def _build_servers(self) -> None:
        close_timeout_s = self.settings.shutdown_timeout_ms / 1000
        self.links.handle_calls(
            _peering.Channel.SUSPECT, self._receive_suspect
        )
        application = _control_app.ControlApp(
            _credentials.load_credentials(self.settings),
            _node_calls.make_calls(self),
            self.announce,
        )
        self.caller_server = _http_server.HttpServer(
            self.ingress, self.settings.caller_address, close_timeout_s
        )
        self.control_server = _http_server.HttpServer(
            application,
            self.settings.control_address,
            close_timeout_s,
            _tls.control_server_context(self.settings),
        )

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all parts; returns once requests are taken."""
        self._tasks = tasks
        self.counters.start()
        tasks.start_soon(self.counters.run)
        await self.links.start(tasks)
        await self.owner.start(tasks)
        await self.attempts.start(tasks)
        await self.gossiper.start(tasks)
        await self.control.start(tasks)
        tasks.start_soon(self._advertise)
        tasks.start_soon(self._make_journal().run)
        await self.control_server.start(tasks)
        await self.caller_server.start(tasks)
        cause = "all listeners are open"
        if self.settings.insecure:
            cause += "; insecure: keys and secrets may be left out"
        self._log_state("starting", "running", cause)

    def _make_journal(self) -> _journal.Journal:
        return _journal.Journal(
            self.settings.link_address,
            self.counters,
            lambda: self.owner_controller.upstreams(clock.now_s()),
            self._read_gauges,
        )

    def _read_gauges(self) -> dict[metrics.Gauge, float]:
        in_flight = self.ingress.open_requests + self.owner.running()
        gossip = self.gossiper.counters
        return {
            metrics.Gauge.IN_FLIGHT: in_flight,
            metrics.Gauge.LINKS: self.links.open_count,
            metrics.Gauge.MEMBERS_ALIVE: len(self.membership.members()),
            metrics.Gauge.CONFIG_INDEX: self.blackboard.config_index,
            metrics.Gauge.GOSSIP_SENT: gossip.sent_bytes,
            metrics.Gauge.GOSSIP_REFUSED: gossip.bad_key + gossip.bad_format,
        }

    async def close(self) -> None:
        """Stop without cutting a request.

        Callers are told to use other connections, the members that this
        node leaves; what is in flight here, as ingress or as owner, ends.
        """
        self._log_state("running", "leaving", "asked to stop")
        self.blackboard.stopping = True
        self.gossiper.send(self.membership.leave(clock.now_s()))
        timeout_s = self.settings.shutdown_timeout_ms / 1000
        with anyio.move_on_after(timeout_s):
            await anyio.sleep(LEAVE_SPREAD_S)
            # Callers that do not heed "Connection: close" would otherwise
            # keep this node busy for as long as they like.
            await self.caller_server.close()
            while self.owner.running():
                await anyio.sleep(DRAIN_POLL_S)
        await self.control_server.close()
        await self.control.close()
        await self.gossiper.close()
        await self.owner.close()
        await self.links.close()
        self.counters.close()
        self._log_state("leaving", "stopped", "nothing is in flight")

    def announce(
        self, announcement: _decision_types.UpstreamAnnouncement
    ) -> _announcements.AnnounceAnswer:
        """Take in an upstream's announcement."""
        stopping = self.blackboard.stopping
        known = {
            view.upstream
            for view in self.owner_controller.upstreams(clock.now_s())
        }
        if not stopping or announcement.upstream in known:
            self.owner.announce(announcement)
        drained = self.owner_controller.drained(announcement.upstream)
        leaving = announcement.state is _decision_types.UpstreamState.LEAVING
        renew_ms = int(announcement.lease_s * 1000 / 3)
        return _announcements.AnnounceAnswer(
            owner=self.settings.link_address,
            renew_ms=max(MIN_RENEW_MS, renew_ms),
            drained=drained and leaving,
            move=stopping,
        )

    def list_others(self) -> list[str]:
        """Return the link addresses of the other members."""
        return [
            member.address
            for member in self.membership.members()
            if member.address != self.settings.link_address
            and member.state <= _membership_types.MemberState.SUSPECT
        ]

    def put_in_force(
        self, index: int, changed: list[documents.Document]
    ) -> None:
        """Serve by these documents from now on."""
        assert index >= self.blackboard.config_index, "the config went back"
        for document in changed:
            known = self.blackboard.services.get(document.name)
            assert known is None or known.revision < document.revision
            self.blackboard.services[document.name] = document
            policy = _service_policy.from_document(
                document, self.settings.failure_domain
            )
            self.owner_controller.configure(document.name, policy)
            self.ingress_controller.configure(document.name, policy)
            self.counters.count(metrics.Counter.CONFIG_CHANGES)
        self.blackboard.config_index = index

    def list_reports(self) -> list[commands.UpstreamReport]:
        """Return the upstreams of this node, for the ledger."""
        return [
            commands.UpstreamReport(
                view.upstream, view.service, view.slots, _report_state(view)
            )
            for view in self.owner_controller.upstreams(clock.now_s())
        ]

    def observe_slots(self, service: str) -> dict[str, int]:
        """Return the slots that each live owner offers of a service."""
        return {
            advert.owner: advert.slots
            for advert in self.membership.adverts(service)
        }

    def permit_answered(self, upstream: str, granted: bool) -> None:
        """Take in the answer to an ejection's permit."""
        counter = metrics.Counter.PERMITS_DENIED
        if granted:
            counter = metrics.Counter.EJECTIONS
        self.counters.count(counter)
        self.owner.permit_answered(upstream, granted)

    def spread_suspect(self, news: _decision_types.SuspectNews) -> None:
        """Tell every member of a request that may crash upstreams."""
        self.ingress_controller.suspect(clock.now_s(), news)
        body = _node_calls.encode_suspect(news)
        assert self._tasks is not None
        for member in self.list_others():
            self._tasks.start_soon(self._tell_suspect, member, body)

    async def _tell_suspect(self, member: str, body: bytes) -> None:
        with contextlib.suppress(exceptions.PapayastallError):
            await self.links.call(
                member, _peering.Channel.SUSPECT, body, SUSPECT_TIMEOUT_S
            )

    async def _receive_suspect(self, _peer: str, body: bytes) -> bytes:
        news = _node_calls.decode_suspect(body)
        now_s = clock.now_s()
        self.owner.perform(self.owner_controller.suspect(now_s, news))
        self.ingress_controller.suspect(now_s, news)
        return b""

    def _note_membership(
        self, event: _membership_types.MembershipEvent
    ) -> None:
        now_s = clock.now_s()
        match event:
            case _membership_types.AdvertChanged(advert):
                self._note_advert(now_s, advert)
            case _membership_types.PeerConfigIndex(address, index):
                self.control.config.observe(address, index)
            case _membership_types.MemberLeft(address, state):
                self.ingress_controller.remove_owner(address)
                self._log_member(address, state.name.lower())
            case _membership_types.MemberJoined(address):
                self._restore_adverts(now_s, address)
                self._log_member(address, "alive")

    def _restore_adverts(self, now_s: float, address: str) -> None:
        """Route to a member that is back, by what it offered before."""
        for service in self.blackboard.services:
            for advert in self.membership.adverts(service):
                if advert.owner == address:
                    self._note_advert(now_s, advert)

    def _note_advert(
        self, now_s: float, advert: _decision_types.OwnerAdvert
    ) -> None:
        if advert.slots > 0:
            self.ingress_controller.set_owner(now_s, advert)
        else:
            self.ingress_controller.remove_owner(advert.owner, advert.service)

    async def _advertise(self) -> None:
        known: list[_decision_types.OwnerAdvert] = []
        while True:
            now_s = clock.now_s()
            self.membership.set_config_index(self.blackboard.config_index)
            adverts = self.owner_controller.adverts(now_s)
            if self.blackboard.stopping:
                adverts = []
            if adverts != known:
                for advert in known:
                    self.ingress_controller.remove_owner(
                        advert.owner, advert.service
                    )
                for advert in adverts:
                    self.ingress_controller.set_owner(now_s, advert)
                self.gossiper.send(self.membership.set_adverts(now_s, adverts))
                known = adverts
            await anyio.sleep(ADVERT_INTERVAL_S)

    def _note_replica_failure(
        self, error: exceptions.PapayastallError
    ) -> None:
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.STORAGE,
                self.settings.link_address,
                "running",
                "stopped",
                str(error),
            )
        )

    def _log_state(self, before: str, after: str, cause: str) -> None:
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.NODE,
                self.settings.link_address,
                before,
                after,
                cause,
            )
        )

    def _log_member(self, address: str, after: str) -> None:
        logs.log_change(
            logs.StateChange(
                logs.ChangeKind.MEMBER,
                address,
                "",
                after,
                "membership gossip",
            )
        )


def _report_state(
    view: _owner_state.UpstreamView,
) -> commands.UpstreamReportState:
    """Return whether an upstream is healthy capacity of its service."""
    healthy = view.standing in (
        _owner_state.Standing.HEALTHY,
        _owner_state.Standing.RETURNING,
    )
    ready = view.state is _decision_types.UpstreamState.READY
    if view.standing is _owner_state.Standing.EJECTED:
        return commands.UpstreamReportState.NOT_SERVING
    if ready and not view.leaving:
        if healthy:
            return commands.UpstreamReportState.SERVING
        return commands.UpstreamReportState.SUSPECTED
    return commands.UpstreamReportState.NOT_SERVING
