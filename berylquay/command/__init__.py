"""`berylquay`: the operators' command-line tool, a client of the hosts' operators API (gRPC)."""

from berylquay.command.main import main as main
