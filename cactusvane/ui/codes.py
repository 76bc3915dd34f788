"""Exit codes of the commands; scripts can rely on them."""

from enum import IntEnum

from cactusvane.errors import (
    CactusvaneError,
    ConfigurationConflictError,
    InputError,
    PlatformError,
    PublishUnsettledError,
)


class ExitCode(IntEnum):
    """Outcome of a command."""

    OK = 0
    """The command completed."""

    FAILED = 1
    """The command failed for a reason that has no exit code of its own."""

    USAGE = 2
    """The command line is invalid."""

    INPUT = 3
    """A file is invalid; nothing was published."""

    CONFLICT = 4
    """Another operator changed the same service; nothing was published."""

    PLATFORM = 5
    """The platform does not respond; nothing was published."""

    UNSETTLED = 6
    """The platform stopped responding during a publish; publish again with the same ``--id``."""

    NOT_EVERYWHERE = 7
    """Not every VM is ready with the published version."""


def exit_code(error: CactusvaneError) -> ExitCode:
    """Return the exit code for `error`.

    Examples
    --------
    >>> exit_code(ConfigurationConflictError(("booking",))).name
    'CONFLICT'
    """
    match error:
        case ConfigurationConflictError():
            return ExitCode.CONFLICT
        case InputError():
            return ExitCode.INPUT
        case PublishUnsettledError():
            return ExitCode.UNSETTLED
        case PlatformError():
            return ExitCode.PLATFORM
        case _:
            return ExitCode.FAILED
