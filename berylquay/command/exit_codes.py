"""Exit codes of the tool, which scripts may rely on."""

from enum import IntEnum

from berylquay.decisions.configuration_state import ChangeStatus


class ExitCode(IntEnum):
    """What a run of the tool came to."""

    # Done.
    OK = 0
    # The change was refused or makes no sense; it has no effect.
    REFUSED = 1
    # The command line or the deployment file is wrong; nothing was sent.
    BAD_USAGE = 2
    # Something newer had changed the same thing; the change has no effect.
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
