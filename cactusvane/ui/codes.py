"""Exit codes that scripts can rely on."""

from enum import IntEnum

from cactusvane.errors import (
    CactusvaneError,
    ConfigurationConflictError,
    InputError,
    PlatformError,
    PublishUnsettledError,
)


class ExitCode(IntEnum):
    """What a command's end means."""

    OK = 0
    """Everything asked for is done."""

    FAILED = 1
    """Something went wrong that no other code names."""

    USAGE = 2
    """The command line itself is wrong."""

    INPUT = 3
    """A file is wrong; nothing was published."""

    CONFLICT = 4
    """Someone else changed the same service; nothing was published."""

    PLATFORM = 5
    """The platform does not answer; nothing was published."""

    UNSETTLED = 6
    """The platform went silent in the middle; publish again with the same ``--id``."""

    NOT_EVERYWHERE = 7
    """Not every VM is ready with the version in force."""


def exit_code(error: CactusvaneError) -> ExitCode:
    """Return the exit code that reports `error`.

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
