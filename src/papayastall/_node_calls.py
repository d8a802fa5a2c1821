"""Handlers of the operators' calls to a node."""

from __future__ import annotations

import typing as t
import urllib.parse

import msgspec

from papayastall import _config_service
from papayastall import _control_app
from papayastall import _control_commands as commands
from papayastall import _fleet_calls
from papayastall import _histogram_report
from papayastall import _owner_state
from papayastall import _where
from papayastall import clock
from papayastall import exceptions

if t.TYPE_CHECKING:
    from papayastall import node as nodes

__all__ = ["make_handlers"]


def make_handlers(node: nodes.Node) -> dict[str, _control_app.Handler]:
    """Return the handlers of the operators' calls by method and path."""
    calls = _OperatorCalls(node)
    return {
        "POST /v1/documents": calls.apply_documents,
        "GET /v1/documents": calls.list_documents,
        "GET /v1/missing": calls.list_missing,
        "GET /v1/status": calls.show_status,
        "GET /v1/upstreams": calls.list_upstreams,
        "POST /v1/drain": calls.drain,
        "POST /v1/undrain": calls.undrain,
        "GET /v1/histograms": calls.list_histograms,
        "GET /v1/where": calls.show_where,
    }


class _OperatorCalls:
    def __init__(self, node: nodes.Node) -> None:
        self._node = node
        self._fleet = _fleet_calls.FleetCalls(
            node.links,
            node.list_others,
            self._list_own,
            {"drain": self._drain_own, "undrain": self._undrain_own},
        )

    async def apply_documents(self, body: t.Any) -> object:
        """Check documents and apply all or none of them."""
        items = body.get("documents") if isinstance(body, dict) else None
        if not isinstance(items, list) or not all(
            isinstance(item, dict)
            and isinstance(item.get("text"), str)
            and isinstance(item.get("source"), str)
            for item in items
        ):
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_REQUEST,
                "send documents: a list of objects with source and text",
                step="apply",
            )
        outcome = await self._node.control.config.apply_documents(
            [
                _config_service.DocumentSource(item["source"], item["text"])
                for item in items
            ]
        )
        return {
            "index": outcome.index,
            "results": [
                {
                    "name": verdict.name,
                    "revision": verdict.revision,
                    "result": verdict.state.name.lower().replace("_", " "),
                }
                for verdict in outcome.verdicts
            ],
        }

    async def list_missing(self, query: str) -> object:
        """Return the live nodes that have not reached ``index=``."""
        text = dict(urllib.parse.parse_qsl(query)).get("index", "")
        if not text.isdigit():
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_REQUEST,
                "give index=N, the index that apply printed",
                step="missing",
            )
        missing = await self._node.control.config.wait_for(int(text), 0)
        return {"index": int(text), "missing": missing}

    async def list_documents(self, _query: str) -> object:
        """Return the documents in force on this node."""
        return {
            "index": self._node.blackboard.config_index,
            "documents": [
                {
                    "name": text.name,
                    "revision": text.revision,
                    "digest": text.digest,
                    "text": text.text,
                }
                for text in self._node.control.config.list_documents()
            ],
        }

    async def show_status(self, _query: str) -> object:
        """Return the members and the control replicas that this node knows."""
        node = self._node
        own = node.settings.link_address
        nodes_status = []
        for member in node.membership.members():
            index = member.config_index
            if member.address == own:
                index = node.blackboard.config_index
            nodes_status.append(
                {
                    "node": member.address,
                    "state": member.state.name.lower(),
                    "failure_domain": member.failure_domain,
                    "index": index,
                }
            )
        return {
            "node": own,
            "index": node.blackboard.config_index,
            "nodes": nodes_status,
            "ready": node.control.config.is_ready(),
            "control": {
                "replicas": list(node.settings.control_replicas),
                "leader": node.control.find_leader(),
                "failure": node.control.find_failure(),
            },
        }

    async def list_upstreams(self, query: str) -> object:
        """Return the upstreams of all nodes.

        ``scope=node`` selects those of this node.
        """
        if dict(urllib.parse.parse_qsl(query)).get("scope") == "node":
            return {"upstreams": self._list_own(), "unreachable": []}
        rows, unreachable = await self._fleet.list_all()
        return {"upstreams": rows, "unreachable": unreachable}

    async def drain(self, body: t.Any) -> object:
        """Drain an upstream on whichever node owns it."""
        return await self._fleet.change("drain", _read_upstream(body))

    async def undrain(self, body: t.Any) -> object:
        """Let a drained upstream serve again, on whichever node owns it."""
        return await self._fleet.change("undrain", _read_upstream(body))

    def _list_own(self) -> list[_fleet_calls.Row]:
        node = self._node
        return [
            {
                "upstream": view.upstream,
                "service": view.service,
                "owner": node.settings.link_address,
                "state": "leaving" if view.leaving else view.state.value,
                "standing": view.standing.value,
                "slots": view.slots,
                "in_flight": view.in_flight,
                "weight": round(view.weight, 3),
                "score": round(view.score, 1),
            }
            for view in node.owner_controller.upstreams(clock.now_s())
        ]

    async def _drain_own(self, upstream: str) -> object:
        view = self._find_upstream(upstream)
        node = self._node
        result = await node.control.permits.request(
            view.upstream, view.service, commands.PermitReason.LEAVING
        )
        if result.state is not commands.PermitState.GRANTED:
            raise exceptions.RefusedError(
                exceptions.ErrorCode.FLOOR,
                f"{view.service} has {result.healthy_slots} healthy slots "
                f"and a floor of {result.floor_slots}; add upstreams or "
                "wait until others are back",
                step="drain",
                peer=view.upstream,
            )
        actions = node.owner_controller.start_drain(
            clock.now_s(), view.upstream
        )
        node.owner.perform(actions)
        return {"upstream": view.upstream, "state": "leaving"}

    async def _undrain_own(self, upstream: str) -> object:
        self._find_upstream(upstream)
        self._node.owner_controller.undrain(clock.now_s(), upstream)
        self._node.control.permits.release_upstream(upstream)
        return {"upstream": upstream, "state": "ready"}

    async def list_histograms(self, query: str) -> object:
        """Return encoded histograms, all or of a service or team."""
        wanted = dict(urllib.parse.parse_qsl(query))
        rows = await _histogram_report.collect(
            self._node.histograms,
            clock.now_s(),
            wanted.get("service"),
            wanted.get("team"),
        )
        return {"histograms": rows}

    async def show_where(self, query: str) -> object:
        """Return where a request would go now, without sending it."""
        wanted = dict(urllib.parse.parse_qsl(query, keep_blank_values=True))
        host, path = wanted.get("host"), wanted.get("path")
        if host is None or path is None:
            raise exceptions.BadInputError(
                exceptions.ErrorCode.BAD_REQUEST,
                "send the host and the path of a request in the query",
                step="where",
            )
        node = self._node
        target = _where.find_target(
            node.blackboard, host, path, wanted.get("team")
        )
        services = []
        for service, share in target.shares:
            run_ms, candidates = node.ingress_controller.list_candidates(
                clock.now_s(), service, target.route
            )
            services.append(
                {
                    "service": service,
                    "share": share,
                    "expected_ms": run_ms,
                    "candidates": msgspec.to_builtins(candidates),
                }
            )
        return {
            "node": node.settings.link_address,
            "failure_domain": node.settings.failure_domain,
            "route": target.route,
            "rank": target.rank,
            "services": services,
        }

    def _find_upstream(self, upstream: str) -> _owner_state.UpstreamView:
        for view in self._node.owner_controller.upstreams(clock.now_s()):
            if view.upstream == upstream:
                return view
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_REQUEST,
            f"{upstream} has moved away from this node; repeat the command",
            step="find upstream",
        )


def _read_upstream(body: t.Any) -> object:
    return body.get("upstream") if isinstance(body, dict) else None
