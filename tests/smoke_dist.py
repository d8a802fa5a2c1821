"""Smoke tests of the single-file program that ``make dist`` builds.

``make test`` runs them after the build; pytest doesn't collect them by
default. All but the demo run it without the packages of this environment.
"""

from __future__ import annotations

import pathlib
import subprocess
import sys

import papayastall
from papayastall import cli

ROOT = pathlib.Path(__file__).parent.parent
PROGRAM = ROOT / "dist" / "papayastall"


def run(home: pathlib.Path, *argv: str) -> subprocess.CompletedProcess[str]:
    """Run the program with the base Python and an empty environment."""
    python: str = sys._base_executable  # type: ignore[attr-defined]
    return subprocess.run(
        [python, str(PROGRAM), *argv],
        env={"HOME": str(home)},
        cwd=home,
        capture_output=True,
        text=True,
        timeout=60,
    )


def test_version(tmp_path: pathlib.Path) -> None:
    result = run(tmp_path, "version")
    assert result.stdout == f"{papayastall.__version__}\n"
    assert result.returncode == cli.ExitCode.DONE


def test_check(tmp_path: pathlib.Path) -> None:
    examples = ROOT / "examples" / "safe-steps"
    services = sorted(examples.glob("services/*.toml"))
    node = examples / "nodes" / "visits-1.toml"
    argv = [f"--settings={node}", *map(str, services)]
    result = run(tmp_path, "check", *argv)
    assert result.stderr == ""
    assert result.returncode == cli.ExitCode.DONE
    result = run(tmp_path, "check", str(node))
    assert result.returncode == cli.ExitCode.BAD_INPUT


def test_demo() -> None:
    """Three nodes that run from the file answer a lookup and a booking."""
    result = subprocess.run(
        [
            sys.executable,
            str(ROOT / "demo" / "run.py"),
            f"--program={PROGRAM}",
        ],
        capture_output=True,
        text=True,
        timeout=120,
    )
    assert result.returncode == 0, result.stdout + result.stderr
    assert result.stdout.endswith("stopped cleanly\n")
