"""Exit codes of the tool, a stable interface for scripts."""

from enum import IntEnum

from berylquay.decisions.configuration_state import ChangeStatus


class ExitCode(IntEnum):
    """Result of a run of the tool."""

    # The command succeeded.
    OK = 0
    # The change was refused or is invalid; it has no effect.
    REFUSED = 1
    # The command line or the deployment file is wrong; nothing was sent.
    BAD_USAGE = 2
    # A newer change had modified the same object; this change has no effect.
    CONFLICT = 3
    # No host could be reached; nothing was sent.
    UNREACHABLE = 4
    # The change may or may not take effect.
    UNKNOWN_OUTCOME = 5
    # `diff --exit-code` found differences.
    DIFFERENT = 10


EXIT_CODE_BY_STATUS = {
    ChangeStatus.ACCEPTED: ExitCode.OK,
    ChangeStatus.CONFLICT: ExitCode.CONFLICT,
    ChangeStatus.INVALID: ExitCode.REFUSED,
    ChangeStatus.REFUSED: ExitCode.REFUSED,
    ChangeStatus.UNKNOWN: ExitCode.UNKNOWN_OUTCOME,
}

EXIT_CODES_HELP = """exit codes:
  0   done
  1   refused: the change has no effect, the text says why
  2   the command line or the deployment file is wrong; nothing was sent
  3   conflict: something newer had changed the same thing; the text names the change that won
  4   no host could be reached; nothing was sent
  5   unknown outcome: run the same command with the printed --change-id to find out
  10  diff --exit-code: there are differences
"""
