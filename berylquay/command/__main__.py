"""Runs the tool as `python -m berylquay.command`."""

import sys

from berylquay.command.main import main

sys.exit(main())
