"""Help texts: one for the program, and one per command for docopt."""

from __future__ import annotations

__all__ = ["COMMAND_USAGE", "EXIT_CODES_TEXT", "MAIN_USAGE"]

MAIN_USAGE = """\
papayastall: a proxy fleet for upstreams with gray failures

Usage:
  papayastall <command> [<arguments>...]
  papayastall (-h | --help)

Commands:
  node        run one node
  init        create the data folder of a control replica
  check       check settings and service documents without a running node
  apply       apply service documents: all of them or none
  show        print the documents in force
  status      print the nodes and the control replicas
  upstreams   print the upstreams
  drain       send an upstream no new requests, let running ones finish
  undrain     return a drained upstream to service
  histograms  draw histograms of added, waiting and upstream time
  where       show where a request would go now, and why
  explain     show from log files what happened to a request
  demo        send a lookup and a booking through a node
  version     print the version

Run 'papayastall <command> --help' for the options of a command.
"""

EXIT_CODES_TEXT = """\
Exit codes:
  0 done                     4 unreachable (safe to retry)
  1 internal error           5 refused
  2 bad input                6 not finished within --timeout
  3 conflict
"""

TARGET_OPTIONS = """\
  --node=ADDRESS      control address of any node, ip:port
  --token-file=FILE   file with the operator token
  --authority=FILE    use HTTPS, trust this certificate authority (PEM)
  --settings=FILE     settings file of a node, for values not given above
  --json              print JSON
"""

TARGET_USAGE = (
    "[--node=ADDRESS] [--token-file=FILE] [--authority=FILE]\n"
    "      [--settings=FILE] [--json]"
)


def _make_usage(summary: str, usage: str, options: str, examples: str) -> str:
    parts = [summary, f"Usage:\n  papayastall {usage}"]
    parts.append(f"Options:\n{options}  -h --help           print this text")
    parts.append(f"Examples:\n{examples.rstrip()}")
    parts.append(EXIT_CODES_TEXT)
    return "\n\n".join(parts)


NODE_USAGE = _make_usage(
    "Run one node. SIGTERM stops it after its running requests have ended.",
    "node --settings=FILE",
    "  --settings=FILE     settings of this node (TOML)\n",
    "  papayastall node --settings /etc/papayastall/node.toml",
)

INIT_USAGE = _make_usage(
    "Create the data folder of a control replica. Fails if it is in use.",
    "init --settings=FILE",
    "  --settings=FILE     settings of this node (TOML)\n",
    "  papayastall init --settings /etc/papayastall/node.toml",
)

CHECK_USAGE = _make_usage(
    "Check files without a running node and print every problem found.",
    "check [--settings=FILE]... [--json] [<document>...]",
    "  --settings=FILE     a settings file; may be repeated\n"
    "  --json              print JSON\n",
    "  papayastall check --settings node.toml\n"
    "  papayastall check services/*.toml",
)

APPLY_USAGE = _make_usage(
    "Apply service documents: all of them or none.",
    f"apply {TARGET_USAGE}\n      [--wait] [--timeout=SECONDS] <document>...",
    TARGET_OPTIONS
    + "  --wait              return when every live node has them in force\n"
    "  --timeout=SECONDS   how long to wait [default: 30]\n",
    "  papayastall apply --settings node.toml --wait services/*.toml",
)

SHOW_USAGE = _make_usage(
    "Print the documents in force; with a name, the text of that document.",
    f"show {TARGET_USAGE} [<name>]",
    TARGET_OPTIONS,
    "  papayastall show --settings node.toml\n"
    "  papayastall show --settings node.toml visits",
)

STATUS_USAGE = _make_usage(
    "Print the nodes, the configuration in force and the control replicas.",
    f"status {TARGET_USAGE}",
    TARGET_OPTIONS,
    "  papayastall status --node 10.0.0.11:8081 --token-file token",
)

UPSTREAMS_USAGE = _make_usage(
    "Print the upstreams, their owners and their states.",
    f"upstreams {TARGET_USAGE} [--service=NAME]",
    TARGET_OPTIONS + "  --service=NAME      only upstreams of this service\n",
    "  papayastall upstreams --settings node.toml --service visits",
)

DRAIN_USAGE = _make_usage(
    "Drain an upstream: it gets no new requests, running ones finish.",
    f"drain {TARGET_USAGE}\n      [--wait] [--timeout=SECONDS] <upstream>",
    TARGET_OPTIONS
    + "  --wait              return when no request is running there\n"
    "  --timeout=SECONDS   how long to wait [default: 60]\n",
    "  papayastall drain --settings node.toml --wait 10.0.0.21:9000",
)

UNDRAIN_USAGE = _make_usage(
    "Return a drained upstream to service.",
    f"undrain {TARGET_USAGE} <upstream>",
    TARGET_OPTIONS,
    "  papayastall undrain --settings node.toml 10.0.0.21:9000",
)

HISTOGRAMS_USAGE = _make_usage(
    "Draw histograms of the added, the waiting and the upstream time.",
    f"histograms {TARGET_USAGE}\n      [--service=NAME] [--team=NAME]",
    TARGET_OPTIONS + "  --service=NAME      only this service\n"
    "  --team=NAME         only this team\n",
    "  papayastall histograms --settings node.toml --service visits",
)

WHERE_USAGE = _make_usage(
    "Show where a request would go from a node now, and why, without sending\n"
    "it: the owners of its service in the order of preference.",
    f"where {TARGET_USAGE} [--team=NAME]\n      <host> <path>",
    TARGET_OPTIONS + "  --team=NAME         as a request of this team\n",
    "  papayastall where --settings node.toml visits.example /visits/7",
)

EXPLAIN_USAGE = _make_usage(
    "Show from the logs of all nodes what happened to a request, and the\n"
    "state changes that the nodes involved logged shortly before.",
    "explain [--json] <request-id> <log-file>...",
    "  --json              print JSON\n",
    "  papayastall explain 9c41d07be2a35f68 logs/*.log",
)

DEMO_USAGE = _make_usage(
    "Send a lookup and a booking through a node and print the answers.",
    "demo [--json] <caller-address> <lookup-path> <booking-path>",
    "  --json              print JSON\n",
    "  papayastall demo 127.0.0.1:8080 /visits/7 /visits",
)

VERSION_USAGE = _make_usage(
    "Print the version.",
    "version [--json]",
    "  --json              print JSON\n",
    "  papayastall version",
)

COMMAND_USAGE = {
    "node": NODE_USAGE,
    "init": INIT_USAGE,
    "check": CHECK_USAGE,
    "apply": APPLY_USAGE,
    "show": SHOW_USAGE,
    "status": STATUS_USAGE,
    "upstreams": UPSTREAMS_USAGE,
    "drain": DRAIN_USAGE,
    "undrain": UNDRAIN_USAGE,
    "histograms": HISTOGRAMS_USAGE,
    "where": WHERE_USAGE,
    "explain": EXPLAIN_USAGE,
    "demo": DEMO_USAGE,
    "version": VERSION_USAGE,
}
