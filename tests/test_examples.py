"""Tests that the examples are complete, valid and consistent."""

from __future__ import annotations

import collections
import pathlib

import pytest

from papayastall import cli
from papayastall import documents
from papayastall import settings

EXAMPLES = pathlib.Path(__file__).parent.parent / "examples"

NODE_COUNTS = {
    "safe-steps": {"intake": 6, "supplies": 6, "visits": 9},
    "perros-atentos": {
        "schedule": 6,
        "seat-booking": 12,
        "records-and-cancellations": 12,
    },
}
SLOTS_PER_NODE = {"safe-steps": 7, "perros-atentos": 3}


@pytest.mark.parametrize("deployment", NODE_COUNTS)
def test_check_passes_every_file(deployment: str) -> None:
    folder = EXAMPLES / deployment
    argv = [
        f"--settings={path}" for path in sorted(folder.glob("nodes/*.toml"))
    ]
    argv += [str(path) for path in sorted(folder.glob("services/*.toml"))]
    assert cli.main(["check", *argv]) == cli.ExitCode.DONE


@pytest.mark.parametrize("deployment", NODE_COUNTS)
def test_nodes_have_the_size_of_the_deployment(deployment: str) -> None:
    nodes = {
        path.stem: settings.load_node_settings(path)
        for path in (EXAMPLES / deployment / "nodes").iterdir()
    }
    by_service = collections.Counter(name.rpartition("-")[0] for name in nodes)
    assert by_service == NODE_COUNTS[deployment]
    assert len({node.failure_domain for node in nodes.values()}) == 3
    assert len({node.link_address for node in nodes.values()}) == len(nodes)
    gossip = {node.gossip_address for node in nodes.values()}
    for node in nodes.values():
        assert set(node.seeds) <= gossip - {node.gossip_address}
    ((replicas, groups),) = {
        (tuple(node.control_replicas), node.claim_groups)
        for node in nodes.values()
    }
    control = [
        node for node in nodes.values() if node.link_address in replicas
    ]
    assert len({node.failure_domain for node in control}) == len(replicas)


@pytest.mark.parametrize("deployment", NODE_COUNTS)
def test_floors_are_below_the_capacity_of_services(deployment: str) -> None:
    folder = EXAMPLES / deployment / "services"
    node_counts = NODE_COUNTS[deployment]
    assert {path.stem for path in folder.iterdir()} == set(node_counts)
    for path in folder.iterdir():
        document = documents.parse_document(path.read_text(), path.name)
        assert document.name == path.stem
        slots = node_counts[document.name] * SLOTS_PER_NODE[deployment]
        assert 0 < document.floor_slots < slots
