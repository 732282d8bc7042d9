"""`berylquay`: the operators' command-line tool, a client of the operators' RPCs."""

from berylquay.command.main import main as main
