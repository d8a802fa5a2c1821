"""The texts that docopt parses: one for the program, one a command."""

from __future__ import annotations

__all__ = ["COMMAND_USAGE", "EXIT_CODES_TEXT", "MAIN_USAGE"]

MAIN_USAGE = """\
papayastall: a proxy fleet for upstreams with gray failures

Usage:
  papayastall <command> [<arguments>...]
  papayastall (-h | --help)

Commands:
  node        run one node
  init        make the data folder of a control replica
  check       check settings and service documents without a running node
  apply       apply service documents, all or none
  show        print the documents in force
  status      print the nodes and the control replicas
  upstreams   print the upstreams
  drain       take an upstream out of service without cutting a request
  undrain     put a drained upstream back
  histograms  draw the time added, waiting and upstream time
  explain     tell from log files what became of a request
  demo        send a lookup and a booking through a node
  version     print the version

'papayastall <command> --help' tells more.
"""

EXIT_CODES_TEXT = """\
Exit codes:
  0 done                     4 unreachable (repeating is safe)
  1 internal error           5 refused
  2 bad input                6 not finished within --timeout
  3 conflict
"""

TARGET_OPTIONS = """\
  --node=ADDRESS      control address of any node, ip:port
  --token-file=FILE   file with the operators' token
  --authority=FILE    speak HTTPS, trusting this authority (PEM)
  --settings=FILE     take all of these from a node's settings file
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
    "Runs one node until SIGTERM, which stops it without cutting a request.",
    "node --settings=FILE",
    "  --settings=FILE     settings of this node (TOML)\n",
    "  papayastall node --settings /etc/papayastall/node.toml",
)

INIT_USAGE = _make_usage(
    "Makes the data folder of a control replica. Refuses a folder in use.",
    "init --settings=FILE",
    "  --settings=FILE     settings of this node (TOML)\n",
    "  papayastall init --settings /etc/papayastall/node.toml",
)

CHECK_USAGE = _make_usage(
    "Checks files without a running node and prints every problem found.",
    "check [--settings=FILE]... [--json] [<document>...]",
    "  --settings=FILE     a settings file; may be given more than once\n"
    "  --json              print JSON\n",
    "  papayastall check --settings node.toml\n"
    "  papayastall check services/*.toml",
)

APPLY_USAGE = _make_usage(
    "Applies documents as a whole: all of them or none.",
    f"apply {TARGET_USAGE}\n      [--wait] [--timeout=SECONDS] <document>...",
    TARGET_OPTIONS
    + "  --wait              return when every live node has it in force\n"
    "  --timeout=SECONDS   how long to wait [default: 30]\n",
    "  papayastall apply --settings node.toml --wait services/*.toml",
)

SHOW_USAGE = _make_usage(
    "Prints the documents in force; with a name, the text of that one.",
    f"show {TARGET_USAGE} [<name>]",
    TARGET_OPTIONS,
    "  papayastall show --settings node.toml\n"
    "  papayastall show --settings node.toml visits",
)

STATUS_USAGE = _make_usage(
    "Prints the nodes, the configuration in force and the control replicas.",
    f"status {TARGET_USAGE}",
    TARGET_OPTIONS,
    "  papayastall status --node 10.0.0.11:8081 --token-file token",
)

UPSTREAMS_USAGE = _make_usage(
    "Prints the upstreams, their owners and their states.",
    f"upstreams {TARGET_USAGE} [--service=NAME]",
    TARGET_OPTIONS + "  --service=NAME      only those of this service\n",
    "  papayastall upstreams --settings node.toml --service visits",
)

DRAIN_USAGE = _make_usage(
    "Takes an upstream out: nothing new goes there, what runs is finished.",
    f"drain {TARGET_USAGE}\n      [--wait] [--timeout=SECONDS] <upstream>",
    TARGET_OPTIONS
    + "  --wait              return when nothing runs there any more\n"
    "  --timeout=SECONDS   how long to wait [default: 60]\n",
    "  papayastall drain --settings node.toml --wait 10.0.0.21:9000",
)

UNDRAIN_USAGE = _make_usage(
    "Puts a drained upstream back.",
    f"undrain {TARGET_USAGE} <upstream>",
    TARGET_OPTIONS,
    "  papayastall undrain --settings node.toml 10.0.0.21:9000",
)

HISTOGRAMS_USAGE = _make_usage(
    "Draws the time added, the waiting and the upstream time.",
    f"histograms {TARGET_USAGE}\n      [--service=NAME] [--team=NAME]",
    TARGET_OPTIONS + "  --service=NAME      only this service\n"
    "  --team=NAME         only this team\n",
    "  papayastall histograms --settings node.toml --service visits",
)

EXPLAIN_USAGE = _make_usage(
    "Tells from the logs of all nodes what became of a request, and what the\n"
    "nodes involved believed just before.",
    "explain [--json] <request-id> <log-file>...",
    "  --json              print JSON\n",
    "  papayastall explain 9c41d07be2a35f68 logs/*.log",
)

DEMO_USAGE = _make_usage(
    "Sends a lookup and a booking through a node and prints the answers.",
    "demo [--json] <caller-address> <lookup-path> <booking-path>",
    "  --json              print JSON\n",
    "  papayastall demo 127.0.0.1:8080 /visits/7 /visits",
)

VERSION_USAGE = _make_usage(
    "Prints the version.",
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
    "explain": EXPLAIN_USAGE,
    "demo": DEMO_USAGE,
    "version": VERSION_USAGE,
}
