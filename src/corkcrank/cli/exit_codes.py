"""Exit statuses of the operators' command line."""

from enum import IntEnum

from corkcrank.contracts.result_codes import ResultCode


class ExitCode(IntEnum):
    """Exit status of a command, for scripts."""

    OK = 0
    USAGE = 2
    INVALID = 3
    STALE = 4
    UNAVAILABLE = 5
    UNKNOWN_OUTCOME = 6
    NOT_FOUND = 7
    VERSIONS_DIFFER = 8


_BY_RESULT = {
    ResultCode.OK.number: ExitCode.OK,
    ResultCode.PLAN_STALE.number: ExitCode.STALE,
    ResultCode.PLAN_UNKNOWN.number: ExitCode.NOT_FOUND,
    ResultCode.INTENT_INVALID.number: ExitCode.INVALID,
    ResultCode.SETTINGS_INVALID.number: ExitCode.INVALID,
    ResultCode.SETTINGS_UNREADABLE.number: ExitCode.INVALID,
    ResultCode.TABLE_UNAVAILABLE.number: ExitCode.UNAVAILABLE,
    ResultCode.CONFIRM_UNKNOWN.number: ExitCode.UNKNOWN_OUTCOME,
}


def exit_code_for(result_number: int) -> ExitCode:
    """Return the exit status for the number of a result code.

    >>> exit_code_for(5001)
    <ExitCode.STALE: 4>
    """
    return _BY_RESULT.get(result_number, ExitCode.UNAVAILABLE)
