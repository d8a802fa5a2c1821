"""Tests that files linked and commands named in the pages exist.

A page goes stale when a file is moved or a command is renamed.
"""

from __future__ import annotations

import pathlib
import re

import pytest

from papayastall import cli

ROOT = pathlib.Path(__file__).parent.parent
PAGES = [ROOT / "README.md", *sorted((ROOT / "docs").rglob("*.md"))]

LINK = re.compile(r"\]\(([^)#\s]+)")
COMMAND = re.compile(r"(?:^ +|`)papayastall ([a-z]+)", re.MULTILINE)


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_links_lead_to_files(page: pathlib.Path) -> None:
    for target in LINK.findall(page.read_text()):
        if not target.startswith("https://"):
            assert (page.parent / target).exists(), target


@pytest.mark.parametrize("page", PAGES, ids=lambda page: page.name)
def test_commands_exist(page: pathlib.Path) -> None:
    for command in COMMAND.findall(page.read_text()):
        assert command in cli.COMMANDS
