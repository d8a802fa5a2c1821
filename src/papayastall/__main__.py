"""Entry point of ``python -m papayastall``."""

from __future__ import annotations

import sys

from papayastall import cli

if __name__ == "__main__":
    sys.exit(cli.main())
