"""One node: creates its components, starts them, and stops them in order.

A node with a caller address is an ingress and owns the upstreams that
announce themselves to it; one with a data folder is a control replica. It
can be either or both.
"""

from __future__ import annotations

import collections.abc as cabc
import math
import os
import random
import signal
import ssl
import time

import anyio
import anyio.abc
import msgspec

from papayastall import _announcements
from papayastall import _attempts
from papayastall import _config_service
from papayastall import _control_commands as commands
from papayastall import _control_plane
from papayastall import _decision_types
from papayastall import _formation
from papayastall import _gossip
from papayastall import _group_folder
from papayastall import _http_server
from papayastall import _ingress_controller
from papayastall import _links
from papayastall import _membership
from papayastall import _membership_types
from papayastall import _node_memory
from papayastall import _node_monitor
from papayastall import _notices
from papayastall import _owner_controller
from papayastall import _owner_state
from papayastall import _peering
from papayastall import _read_buffers
from papayastall import _retry
from papayastall import _route_lookup
from papayastall import _service_policy
from papayastall import _suspect_codec
from papayastall import _tls
from papayastall import blackboard as blackboards
from papayastall import clock
from papayastall import documents
from papayastall import exceptions
from papayastall import exposition
from papayastall import freshness
from papayastall import histograms
from papayastall import http_names
from papayastall import ingress
from papayastall import logs
from papayastall import memory
from papayastall import metrics
from papayastall import owner
from papayastall import quotas
from papayastall import route_table
from papayastall import settings

__all__ = ["Interfaces", "Node", "run"]

ADVERT_INTERVAL_S = 0.25
CONTROL_SERVICE = "@control"
"""Service under whose name control replicas advertise themselves."""
CONTROL_UPDATE_INTERVAL_S = 1.0
DRAIN_POLL_INTERVAL_S = 0.05
FINAL_ANSWERS_TIMEOUT_S = 0.25
"""Reserved at the end of a planned stop for answering the callers whose
requests have not ended by then."""
OWNER_ACCEPT_SHARE = 0.8
"""Share of the leave notice in which a stopping node still accepts requests
as owner: its upstream goes on serving, and most requests end while callers
are told to use other connections."""
MIN_RENEW_INTERVAL_MS = 100
MAX_START_AHEAD_MS = 60_000
"""How far the start time in an announcement may lie in the future: an
announcement outdates all of its address that name an earlier start."""


class Interfaces(msgspec.Struct, frozen=True):
    """Interfaces of a node that an adapter may replace.

    :param names: names of the headers exchanged with callers and upstreams.
    :param make_servers: returns the node's HTTP servers besides those for
        callers and metrics.
    :param reload: called at SIGHUP.
    """

    names: http_names.HeaderNames = http_names.HeaderNames()
    make_servers: cabc.Callable[[Node], list[_http_server.HttpServer]] = (
        lambda node: [node.make_control_server()]
    )
    reload: cabc.Callable[[Node], None] = lambda node: None


def run(
    node_settings: settings.NodeSettings,
    interfaces: Interfaces | None = None,
) -> None:
    """Run a node until SIGTERM or SIGINT, which begin its planned stop.

    :raises papayastall.exceptions.StorageError: a replica of a control group
        that admits replicas at run time lost its data folder; the next
        process rejoins the group.
    """
    _read_buffers.limit_reads()
    anyio.run(_run, node_settings, interfaces or Interfaces())


async def _run(
    node_settings: settings.NodeSettings, interfaces: Interfaces
) -> None:
    log_file = logs.LogFile(node_settings.log_file, node_settings.link_address)
    log_file.start()
    try:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async with anyio.create_task_group() as tasks:
                node = Node(node_settings, interfaces)
                await node.start(tasks)
                tasks.start_soon(_watch_failure, node)
                async for number in signals:
                    if number == signal.SIGHUP:
                        interfaces.reload(node)
                    elif node.blackboard.stopping:
                        node.extend_stop()
                    else:
                        node.blackboard.stopping = True
                        tasks.start_soon(_stop, node, tasks.cancel_scope)
    finally:
        log_file.close()


async def _stop(node: Node, scope: anyio.CancelScope) -> None:
    await node.close()
    scope.cancel()


async def _watch_failure(node: Node) -> None:
    """Raise the failure of a node, which ends its process."""
    await node.failed.wait()
    assert node.failure is not None
    raise node.failure


class Node:
    """All components of one node.

    :param node_settings: checked settings of this process.
    :param interfaces: those of an adapter; by default papayastall's own.
    """

    def __init__(
        self,
        node_settings: settings.NodeSettings,
        interfaces: Interfaces | None = None,
    ) -> None:
        self.settings = node_settings
        self.interfaces = interfaces or Interfaces()
        self.failed = anyio.Event()
        self._seeds = [str(seed) for seed in node_settings.control_replicas]
        self.failure: exceptions.PapayastallError | None = None
        self.boot_ms = int(time.time() * 1000)
        self._rng = random.Random(int.from_bytes(os.urandom(8), "big"))
        self.blackboard = blackboards.Blackboard(
            node_settings.link_address, node_settings.failure_domain
        )
        if node_settings.routing is settings.RoutingKind.TABLE:
            self.blackboard.routing = blackboards.TableRouting()
        self.counters = metrics.Metrics(
            node_settings.statsd_address, node_settings.link_address
        )
        self.histograms = histograms.HistogramTable()
        self.memory = _node_memory.NodeMemory(
            node_settings.memory_limit_mb,
            node_settings.descriptor_limit,
            self.counters,
            lambda cause: self._log_state("running", "running", cause),
        )
        self._tasks: anyio.abc.TaskGroup | None = None
        self._group_folder: _group_folder.GroupFolder | None = None
        if node_settings.control_group and node_settings.data_folder:
            self._group_folder = _group_folder.GroupFolder(
                node_settings.data_folder, 1 + node_settings.claim_groups
            )
        self._stop_scope: anyio.CancelScope | None = None
        self._late_s = math.inf
        self._budget_owner_counts: dict[str, int] = {}
        self._build_links()
        self._build_membership()
        self._build_control()
        self.key_lease = self._make_key_lease()
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
            account=self.memory.account,
            is_member=lambda peer: (
                peer in self._seeds or self.membership.member(peer) is not None
            ),
            max_strangers=self.memory.max_connections(
                _node_memory.PortKind.LINKS
            ),
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
            from papayastall import _credentials

            key = _credentials.read_secret(node_settings.cluster_key_file)
        self.gossiper = _gossip.Gossiper(
            self.membership,
            node_settings.gossip_address,
            [key],
            self._handle_membership_event,
        )

    @property
    def _routes_by_table(self) -> bool:
        return self.settings.routing is settings.RoutingKind.TABLE

    def _find_data_folder(self) -> str | None:
        """Return where the replicas of this node keep their files."""
        if self._group_folder is not None:
            return self._group_folder.path
        folder = self.settings.data_folder
        return None if folder is None else str(folder)

    def _build_control(self) -> None:
        node_settings = self.settings
        control_settings = _control_plane.ControlSettings(
            node=node_settings.link_address,
            control=tuple(node_settings.control_replicas),
            claim_groups=node_settings.claim_groups,
            data_folder=self._find_data_folder(),
            epoch=self.boot_ms,
            formation=_make_formation(node_settings.control_group),
            group_folder=self._group_folder,
            with_permits=not self._routes_by_table,
        )
        hooks = _control_plane.ControlHooks(
            list_members=self.list_others,
            put_in_force=self.put_in_force,
            list_reports=self.list_reports,
            permit_answered=self.permit_answered,
            replica_failed=self._handle_replica_failure,
            observe_slots=self.observe_slots,
            member_poll=self.gossiper,
        )
        self.control = _control_plane.ControlPlane(
            control_settings,
            self.links,
            hooks,
            self._rng,
            self.counters,
        )

    def _make_key_lease(self) -> freshness.KeyLease | None:
        """Return the lease on the keys, if removed ones must end in time."""
        if self.settings.key_revocation_ms is None:
            return None
        return freshness.KeyLease(
            self.settings.link_address,
            self.settings.key_revocation_ms / 1000,
            self.links,
            self.control.config,
            freshness.LeaseHooks(
                self.control.find_leader, self._describe_fleet
            ),
            self._rng,
            self.counters,
        )

    def _describe_fleet(self) -> freshness.Topology:
        own = self.settings.link_address
        others = set(self.list_others())
        control = self.control.config.list_control()
        domain = sorted(
            member.address
            for member in self.membership.members()
            if member.address in others
            and member.failure_domain == self.settings.failure_domain
        )
        return freshness.Topology(
            control=tuple(peer for peer in control if peer != own),
            domain=tuple(domain),
            members=len(others) + 1,
            is_replica=self.control.host is not None,
        )

    def _build_request_path(self) -> None:
        address = self.settings.link_address
        self.owner_controller = _owner_controller.OwnerController(
            address, self.settings.failure_domain, self._rng, self.boot_ms
        )
        self.owner = owner.Owner(
            self.links,
            self.owner_controller,
            self.control.permits,
            self.counters,
            self.control.claims,
            self.spread_suspect,
            self.interfaces.names,
            self.memory.account,
        )
        self.ingress_controller = _ingress_controller.IngressController(
            address, self._rng
        )
        self.attempts = _attempts.AttemptSender(
            self.links,
            self.ingress_controller,
            self._rng,
            self.counters,
            address,
            self.memory.account,
        )
        self.quotas = quotas.Quotas(
            address,
            self.links,
            quotas.Bounds(
                self.settings.quota_window_s,
                self.settings.quota_over_ratio,
                self.settings.quota_slack,
            ),
            self.membership.known_domains,
            self.counters,
            self.boot_ms,
            is_founder=self._is_only_seed(),
        )
        self.ingress = ingress.Ingress(
            self.blackboard,
            self.control.config.is_ready,
            self.attempts,
            self.counters,
            self.control.claims,
            record_sample=lambda sample: self.histograms.record(
                clock.now_s(), sample
            ),
            names=self.interfaces.names,
            local_service=self.settings.local_service,
            explain_config=self.control.config.explain,
            is_latest=self.control.config.is_latest,
            key_lease=self.key_lease,
            quotas=self.quotas,
            pipelines_lookups=self.settings.memory_limit_mb is not None,
        )

    def _is_only_seed(self) -> bool:
        """Return whether the fleet may consist of this node alone."""
        own = str(self.settings.gossip_address)
        return all(str(seed) == own for seed in self.settings.seeds)

    def _build_servers(self) -> None:
        self.links.handle_calls(
            _peering.Channel.SUSPECT, self._receive_suspect
        )
        self.servers: list[_http_server.HttpServer] = []
        self.caller_server: _http_server.HttpServer | None = None
        if self.settings.caller_address is not None:
            self.caller_server = self._make_server(
                self.ingress,
                self.settings.caller_address,
                None,
                _node_memory.PortKind.CALLERS,
            )
            self.servers.append(self.caller_server)
        self.servers += self.interfaces.make_servers(self)
        if self.settings.metrics_address is not None:
            endpoint = exposition.MetricsEndpoint(
                self.counters, self.histograms, self._read_gauges
            )
            self.servers.append(
                self.make_server(endpoint, self.settings.metrics_address)
            )

    def make_server(
        self,
        application: _http_server.Application,
        address: str,
        tls: ssl.SSLContext | None = None,
    ) -> _http_server.HttpServer:
        """Return an HTTP server, to be started and closed with this node."""
        kind = _node_memory.PortKind.CONTROL
        return self._make_server(application, address, tls, kind)

    def _make_server(
        self,
        application: _http_server.Application,
        address: str,
        tls: ssl.SSLContext | None,
        kind: _node_memory.PortKind,
    ) -> _http_server.HttpServer:
        heads = bodies = memory.MemoryClass.CONTROL
        if kind is _node_memory.PortKind.CALLERS:
            heads = memory.MemoryClass.HEADS
            bodies = memory.MemoryClass.BODIES
        return _http_server.HttpServer(
            application,
            address,
            self.settings.shutdown_timeout_ms / 1000,
            tls,
            self._log_app_failure,
            account=self.memory.account,
            heads_class=heads,
            bodies_class=bodies,
            max_connections=self.memory.max_connections(kind),
            count_refused_connection=lambda: self.counters.count(
                metrics.Counter.CONNECTIONS_REFUSED
            ),
            note_rejection=lambda status, peer: self.memory.rejections.note(
                kind, status, peer
            ),
        )

    def make_control_server(self) -> _http_server.HttpServer:
        """Return the server of papayastall's own control interface."""
        # Nodes with an adapter's interface never load these modules.
        from papayastall import _control_app
        from papayastall import _credentials
        from papayastall import _node_calls

        application = _control_app.ControlApp(
            _credentials.load_credentials(self.settings),
            _node_calls.make_handlers(self),
            self.announce,
        )
        return self.make_server(
            application,
            self.settings.control_address,
            _tls.control_server_context(self.settings),
        )

    def _log_app_failure(self, error: Exception) -> None:
        self._log_state("running", "running", f"request failed: {error!r}")

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Start all components; return once all listeners are open."""
        self._tasks = tasks
        self.counters.start()
        tasks.start_soon(self.counters.run)
        await self.links.start(tasks)
        await self.owner.start(tasks)
        await self.attempts.start(tasks)
        await self.gossiper.start(tasks)
        if self._group_folder is not None:
            await self._group_folder.prepare()
        await self.control.start(tasks)
        if self.key_lease is not None:
            await self.key_lease.start(tasks)
        if self.settings.control_group is not None:
            tasks.start_soon(self._update_control)
        tasks.start_soon(self._advertise)
        if self._routes_by_table:
            tasks.start_soon(self.quotas.run)
        tasks.start_soon(self._make_monitor().run)
        tasks.start_soon(self.memory.run)
        for server in self.servers:
            await server.start(tasks)
        cause = "all listeners are open"
        if self.settings.insecure:
            cause += "; insecure mode: keys and secrets are optional"
        self._log_state("starting", "running", cause)

    async def _update_control(self) -> None:
        """Update the list of control replicas and the retry budgets."""
        while True:
            seeds = self._seeds
            known = [
                advert.owner
                for advert in self.membership.adverts(CONTROL_SERVICE)
            ]
            targets = list(dict.fromkeys([*known, *seeds]))
            self.control.set_control(known or seeds, targets)
            self._update_budgets()
            await anyio.sleep(CONTROL_UPDATE_INTERVAL_S)

    def _make_monitor(self) -> _node_monitor.NodeMonitor:
        return _node_monitor.NodeMonitor(
            self.settings.link_address,
            self.counters,
            lambda: self.owner_controller.upstreams(clock.now_s()),
            self._read_gauges,
        )

    def _read_gauges(self) -> dict[metrics.Gauge, float]:
        in_flight = self.ingress.open_requests + self.owner.running()
        gossip = self.gossiper.counters
        gauges: dict[metrics.Gauge, float] = {
            metrics.Gauge.IN_FLIGHT: in_flight,
            metrics.Gauge.MEMORY_BOOKED: self.memory.account.used_bytes,
            metrics.Gauge.MEMORY_TOTAL: self.memory.account.total_bytes,
            metrics.Gauge.LINKS: self.links.open_count,
            metrics.Gauge.MEMBERS_ALIVE: len(self.membership.members()),
            metrics.Gauge.CONFIG_INDEX: self.blackboard.config_index,
            metrics.Gauge.QUOTA_SLOTS: self.quotas.count_held(),
            metrics.Gauge.GOSSIP_SENT: gossip.sent_bytes,
            metrics.Gauge.GOSSIP_REFUSED: gossip.bad_key + gossip.bad_format,
        }
        if self.key_lease is not None:
            gauges[metrics.Gauge.KEY_LEASE_AGE] = self.key_lease.age_ms()
        return gauges

    async def close(self) -> None:
        """Carry out the planned stop of this node.

        Callers are told to use other connections, and members are told that
        this node is leaving. Requests in flight here, as ingress or as
        owner, may end within the shutdown timeout.
        """
        self._log_state("running", "leaving", "asked to stop")
        self.blackboard.stopping = True
        timeout_s = self._stop_timeout_s()
        notice_s = self.settings.leave_notice_ms / 1000
        self._late_s = clock.now_s() + notice_s
        self._finish_in(timeout_s)
        with anyio.move_on_after(timeout_s) as self._stop_scope:
            await anyio.sleep(OWNER_ACCEPT_SHARE * notice_s)
            self.owner.stop_accepting()
            self.quotas.stop()
            self.gossiper.send(self.membership.start_leaving(clock.now_s()))
            await anyio.sleep((1.0 - OWNER_ACCEPT_SHARE) * notice_s)
            # Callers that ignore "Connection: close" would otherwise keep
            # this node busy without limit.
            if self.caller_server is not None:
                await self.caller_server.close()
            while self.owner.running():
                await anyio.sleep(DRAIN_POLL_INTERVAL_S)
        self.attempts.give_up()
        if self.caller_server is not None:
            with anyio.move_on_after(FINAL_ANSWERS_TIMEOUT_S):
                await self.caller_server.close()
        for server in self.servers:
            if server is not self.caller_server:
                await server.close()
        await self.control.close()
        await self.gossiper.close()
        await self.owner.close()
        await self.links.close()
        self.counters.close()
        self._log_state("leaving", "stopped", "shutdown is complete")

    def extend_stop(self) -> None:
        """Restart the shutdown timeout of a planned stop that is under way.

        The sender of a second stop signal expects the full timeout from then.
        """
        if self._stop_scope is not None:
            timeout_s = self._stop_timeout_s()
            self._stop_scope.deadline = anyio.current_time() + timeout_s
            self._finish_in(timeout_s)
            self._log_state("leaving", "leaving", "asked to stop again")

    def _finish_in(self, timeout_s: float) -> None:
        """Accept only requests that will likely end within the timeout."""
        stop_s = clock.now_s() + timeout_s
        self.owner.finish_by(stop_s)
        self.ingress_controller.finish_by(self._late_s, stop_s)

    def _stop_timeout_s(self) -> float:
        """Return the seconds that requests may go on in a planned stop."""
        timeout_s = self.settings.shutdown_timeout_ms / 1000
        return max(0.0, timeout_s - FINAL_ANSWERS_TIMEOUT_S)

    def announce(
        self, announcement: _decision_types.UpstreamAnnouncement
    ) -> _announcements.AnnounceAnswer:
        """Handle an upstream's announcement; return the answer to it.

        :raises papayastall.exceptions.BadInputError: a value is out of range,
            or the upstream already serves another service.
        """
        latest_start_ms = int(time.time() * 1000) + MAX_START_AHEAD_MS
        if announcement.started_ms > latest_start_ms:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_ANNOUNCEMENT,
                f"the start time {announcement.started_ms} ms lies in the "
                "future; set the clock of the upstream's VM",
                step="announce",
                peer=announcement.upstream,
            )
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
            renew_ms=max(MIN_RENEW_INTERVAL_MS, renew_ms),
            drained=drained and leaving,
            move=stopping,
        )

    def withdraw(self, instance: str, started_ms: int | None) -> None:
        """Handle the deregistration of an upstream.

        :param instance: instance id in the announcements of the upstream.
        :param started_ms: start time of the process that deregisters, in
            Unix milliseconds, if known.
        """
        self.owner.perform(
            self.owner_controller.withdraw(clock.now_s(), instance, started_ms)
        )

    def use_seeds(self, seeds: cabc.Sequence[str]) -> None:
        """Replace the seeds, used to join the fleet and to find control."""
        self._seeds = list(seeds)
        self.membership.set_seeds(self._seeds)

    def list_others(self) -> list[str]:
        """Return the link addresses of the other live members."""
        return [
            member.address
            for member in self.membership.members()
            if member.address != self.settings.link_address
            and member.state <= _membership_types.MemberState.SUSPECT
        ]

    def put_in_force(
        self, index: int, changed: list[_config_service.ConfigItem]
    ) -> None:
        """Apply changed documents and route tables.

        :param index: config index that they bring into force.
        """
        assert index >= self.blackboard.config_index, "config index decreased"
        for item in changed:
            match item:
                case documents.Document():
                    self._apply_document(item)
                case route_table.RouteTable():
                    self._apply_table(item)
            self.counters.count(metrics.Counter.CONFIG_CHANGES)
        self.blackboard.config_index = index
        self.gossiper.send(self.membership.set_config_index(index))

    def _apply_document(self, document: documents.Document) -> None:
        known = self.blackboard.services.get(document.name)
        assert known is None or known.revision < document.revision
        self.blackboard.services[document.name] = document
        policy = _service_policy.from_document(
            document, self.settings.failure_domain
        )
        self._configure(document.name, policy)

    def _apply_table(self, table: route_table.RouteTable) -> None:
        routing = self.blackboard.routing
        if not isinstance(routing, blackboards.TableRouting):
            return
        previous = routing.lookup
        assert previous is None or previous.table.version < table.version
        routing.lookup = _route_lookup.RouteLookup(table, previous)
        self._configure_table(table)
        self.quotas.set_limits(
            {
                team.name: quotas.Limits(
                    team.rate_per_s, team.burst, table.version
                )
                for team in table.teams
                if team.rate_per_s > 0.0
            }
        )
        if self.caller_server is not None:
            limits = self.caller_server.limits
            limits.max_header_bytes = table.limits.max_header_bytes
            limits.header_timeout_ms = table.limits.header_timeout_ms
            limits.idle_timeout_ms = table.limits.idle_timeout_ms

    def _configure_table(self, table: route_table.RouteTable) -> None:
        """Set the policies of all services of a table.

        They depend on how many owners share the retry budget of a service.
        """
        self._budget_owner_counts = {
            service.name: len(self.membership.adverts(service.name))
            for service in table.services
        }
        for service, owners in self._budget_owner_counts.items():
            policy = _service_policy.for_table(
                self.settings.failure_domain,
                _retry.share_budget(
                    self.settings.retry_ratio,
                    self.settings.retry_slack,
                    self.settings.retry_window_s,
                    owners,
                ),
                is_varied=table.has_large_payloads,
            )
            self._configure(service, policy)

    def _update_budgets(self) -> None:
        """Update the policies if more or fewer owners share a retry budget."""
        routing = self.blackboard.routing
        if not isinstance(routing, blackboards.TableRouting):
            return
        if any(
            len(self.membership.adverts(service)) != owners
            for service, owners in self._budget_owner_counts.items()
        ):
            assert routing.lookup is not None, "owner counts without a table"
            self._configure_table(routing.lookup.table)

    def _configure(
        self, service: str, policy: _service_policy.ServicePolicy
    ) -> None:
        self.owner_controller.configure(service, policy)
        self.ingress_controller.configure(service, policy)

    def has_routes(self) -> bool:
        """Return whether this node can serve callers by a route table."""
        routing = self.blackboard.routing
        return (
            isinstance(routing, blackboards.TableRouting)
            and routing.lookup is not None
            and self.control.config.is_ready()
        )

    def list_reports(self) -> list[commands.UpstreamReport]:
        """Return the upstreams of this node, for the permit table."""
        return [
            commands.UpstreamReport(
                view.upstream, view.service, view.slots, _report_state(view)
            )
            for view in self.owner_controller.upstreams(clock.now_s())
        ]

    def observe_slots(self, service: str) -> dict[str, int]:
        """Return the slots of a service that each live owner advertises."""
        return {
            advert.owner: advert.slots
            for advert in self.membership.adverts(service)
        }

    def permit_answered(self, upstream: str, granted: bool) -> None:
        """Handle the decision on a permit for an ejection."""
        counter = metrics.Counter.PERMITS_DENIED
        if granted:
            counter = metrics.Counter.EJECTIONS
        self.counters.count(counter)
        self.owner.permit_answered(upstream, granted)

    def spread_suspect(self, notice: _decision_types.SuspectNotice) -> None:
        """Notify every member of a request that may crash upstreams."""
        self.ingress_controller.suspect(clock.now_s(), notice)
        body = _suspect_codec.encode_suspect(notice)
        assert self._tasks is not None
        for member in self.list_others():
            self._tasks.start_soon(
                _notices.deliver_notice,
                self.links,
                member,
                _peering.Channel.SUSPECT,
                body,
            )

    async def _receive_suspect(self, _peer: str, body: bytes) -> bytes:
        notice = _suspect_codec.decode_suspect(body)
        now_s = clock.now_s()
        self.owner.perform(self.owner_controller.suspect(now_s, notice))
        self.ingress_controller.suspect(now_s, notice)
        return b""

    def _handle_membership_event(
        self, event: _membership_types.MembershipEvent
    ) -> None:
        now_s = clock.now_s()
        match event:
            case _membership_types.AdvertChanged(advert):
                self._apply_advert(now_s, advert)
            case _membership_types.PeerConfigIndex(address, index):
                self.control.config.observe(address, index)
            case _membership_types.MemberLeft(address, state):
                self.ingress_controller.remove_owner(address)
                self._log_member(address, state.name.lower())
            case _membership_types.MemberJoined(address):
                self._restore_adverts(now_s, address)
                self._log_member(address, "alive")

    def _restore_adverts(self, now_s: float, address: str) -> None:
        """Route requests to a member that is live again, by its adverts."""
        for service in self.blackboard.services:
            for advert in self.membership.adverts(service):
                if advert.owner == address:
                    self._apply_advert(now_s, advert)

    def _apply_advert(
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
            adverts = self.owner_controller.adverts(now_s)
            if self.control.host is not None:
                adverts.append(self._make_control_advert())
            if self.owner.is_stopping:
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

    def _make_control_advert(self) -> _decision_types.OwnerAdvert:
        return _decision_types.OwnerAdvert(
            self.settings.link_address,
            CONTROL_SERVICE,
            self.settings.failure_domain,
            1,
        )

    def _handle_replica_failure(
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
        if self.settings.control_group is not None:
            self._fail(error)

    def _fail(self, error: exceptions.PapayastallError) -> None:
        """End the process; the next one reads the folder again or rejoins.

        A damaged data folder is removed, as there is no operator to do so.
        """
        damaged = error.code is exceptions.ErrorCode.STORAGE_DAMAGED
        if damaged and self._group_folder is not None:
            self._group_folder.give_up()
        self.failure = error
        self.failed.set()

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


def _make_formation(
    group: settings.ControlGroupSettings | None,
) -> _formation.Formation:
    if group is None:
        return _formation.Formation()
    return _formation.Formation(
        may_found=group.may_found,
        admits=True,
        target_voters=group.target_voters,
        spreads_leaders=False,
    )


def _report_state(
    view: _owner_state.UpstreamView,
) -> commands.UpstreamReportState:
    """Return the state that the permit table counts an upstream by."""
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
