"""Command line of papayastall."""

from __future__ import annotations

import collections.abc as cabc
import enum
import sys

import docopt

import papayastall
from papayastall import _cli_commands
from papayastall import _cli_usage
from papayastall import _data_folder
from papayastall import documents
from papayastall import exceptions
from papayastall import settings

__all__ = ["ExitCode", "main"]


class ExitCode(enum.IntEnum):
    """Exit codes that scripts may rely on."""

    DONE = 0
    INTERNAL = 1
    BAD_INPUT = 2
    CONFLICT = 3
    UNREACHABLE = 4
    REFUSED = 5
    NOT_FINISHED = 6


CONFIG_GROUP_COUNT = 1

Command = cabc.Callable[[_cli_commands.Arguments], None]


def main(argv: list[str] | None = None) -> int:
    """Run one command.

    :param argv: arguments without the program's name; ``None`` for those
        of the process.
    :return: the exit code.
    """
    argv = sys.argv[1:] if argv is None else argv
    try:
        return _run(argv)
    except docopt.DocoptExit as error:
        print(error, file=sys.stderr)
        return ExitCode.BAD_INPUT
    except exceptions.PapayastallError as error:
        print(f"papayastall: {error}", file=sys.stderr)
        return _choose_exit_code(error)
    except KeyboardInterrupt:
        return ExitCode.INTERNAL


def _run(argv: list[str]) -> int:
    if not argv or argv[0] in ("-h", "--help", "help"):
        print(f"{_cli_usage.MAIN_USAGE}\n{_cli_usage.EXIT_CODES_TEXT}")
        return ExitCode.DONE if argv else ExitCode.BAD_INPUT
    name = argv[0]
    usage = _cli_usage.COMMAND_USAGE.get(name)
    if usage is None:
        known = ", ".join(_cli_usage.COMMAND_USAGE)
        print(
            f"papayastall: unknown command {name!r}; use one of: {known}",
            file=sys.stderr,
        )
        return ExitCode.BAD_INPUT
    if "-h" in argv or "--help" in argv:
        print(usage)
        return ExitCode.DONE
    arguments = docopt.docopt(usage, argv, help=False)
    COMMANDS[name](arguments)
    return ExitCode.DONE


def _choose_exit_code(error: exceptions.PapayastallError) -> ExitCode:
    match error:
        case exceptions.BadInputError():
            return ExitCode.BAD_INPUT
        case exceptions.ConflictError():
            return ExitCode.CONFLICT
        case exceptions.UnreachableError():
            return ExitCode.UNREACHABLE
        case exceptions.RefusedError():
            return ExitCode.REFUSED
        case _cli_commands.NotFinishedError():
            return ExitCode.NOT_FINISHED
        case _:
            return ExitCode.INTERNAL


def _run_node(arguments: _cli_commands.Arguments) -> None:
    node_settings = settings.load_node_settings(arguments["--settings"])
    # Imported here: the other commands don't need the server's modules.
    from papayastall import node

    node.run(node_settings)


def _init(arguments: _cli_commands.Arguments) -> None:
    node_settings = settings.load_node_settings(arguments["--settings"])
    if node_settings.data_folder is None:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_SETTINGS,
            "data_folder is not set: this node is not a control replica",
            step="init",
        )
    _data_folder.create_data_folder(
        str(node_settings.data_folder),
        CONFIG_GROUP_COUNT + node_settings.claim_groups,
    )
    print(f"created the data folder {node_settings.data_folder}")


def _check(arguments: _cli_commands.Arguments) -> None:
    problems = [
        *_find_problems(arguments["--settings"], settings.load_node_settings),
        *_find_problems(arguments["<document>"], _check_document),
    ]
    paths = arguments["--settings"] + arguments["<document>"]
    if not paths:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_REQUEST,
            "give at least one document or --settings FILE",
            step="check",
        )
    data = {"files": paths, "problems": problems}
    text = f"{len(paths)} files checked, no problems found"
    _cli_commands.print_data(arguments, data, "" if problems else text)
    if problems:
        raise exceptions.BadInputError(
            exceptions.ErrorCode.BAD_REQUEST,
            "\n".join(problems),
            step="check",
        )


def _find_problems(
    paths: list[str], check: cabc.Callable[[str], object]
) -> cabc.Iterator[str]:
    for path in paths:
        try:
            check(path)
        except exceptions.BadInputError as error:
            yield error.message


def _check_document(path: str) -> None:
    documents.parse_document(_cli_commands.read_document(path), path)


def _print_version(arguments: _cli_commands.Arguments) -> None:
    version = papayastall.__version__
    _cli_commands.print_data(arguments, {"version": version}, version)


COMMANDS: dict[str, Command] = {
    "node": _run_node,
    "init": _init,
    "check": _check,
    "apply": _cli_commands.apply,
    "show": _cli_commands.show,
    "status": _cli_commands.status,
    "upstreams": _cli_commands.upstreams,
    "drain": _cli_commands.drain,
    "undrain": _cli_commands.undrain,
    "histograms": _cli_commands.histograms,
    "where": _cli_commands.where,
    "explain": _cli_commands.explain,
    "demo": _cli_commands.demo,
    "version": _print_version,
}

if __name__ == "__main__":
    sys.exit(main())
