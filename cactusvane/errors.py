"""Exception hierarchy; every error that cactusvane raises on purpose has one base class."""

from cactusvane.verdict import Verdict


class CactusvaneError(Exception):
    """Base class of all errors; the message is written for a human reader."""


class InputError(CactusvaneError):
    """Input written by a person is invalid."""


class SettingsError(InputError):
    """A daemon's settings file is missing, unreadable or invalid."""


class ServiceFileError(InputError):
    """A service file written by an operator is invalid.

    Parameters
    ----------
    file
        Path of the file.
    path
        Location of the invalid value within the file, for example ``routes[0].path``.
    value
        The invalid value as JSON text.
    remedy
        What to write instead.
    """

    def __init__(self, file: str, path: str, value: str, remedy: str) -> None:
        super().__init__(f"{file}: {path}: {value}: {remedy}")
        self.file = file
        self.path = path
        self.value = value
        self.remedy = remedy


class CustomerError(InputError):
    """The customers of a configuration are invalid; the message contains no key."""


class ConfigurationConflictError(InputError):
    """Two operators changed the same services concurrently."""

    def __init__(self, services: tuple[str, ...]) -> None:
        names = ", ".join(services)
        super().__init__(f"another operator has changed the same services: {names}")
        self.services = services


class PlatformError(CactusvaneError):
    """A call to the platform failed."""


class PlatformUnavailableError(PlatformError):
    """The platform did not respond; a write may have taken effect nevertheless."""


class PublishUnsettledError(PlatformUnavailableError):
    """The platform stopped responding during a publish, so its outcome is unknown.

    Parameters
    ----------
    publish_id
        Id of the publish. Publishing again with this id determines the outcome and cannot publish
        twice.
    """

    def __init__(self, publish_id: str) -> None:
        super().__init__(
            "the platform stopped responding; the change may have been accepted. "
            f"Publish again with --id {publish_id} to find out; this cannot publish twice"
        )
        self.publish_id = publish_id


class WriteConflictError(PlatformError):
    """A conditional write found an unexpected version; nothing was written."""


class NotFoundError(PlatformError):
    """The row or object does not exist."""


class DigestError(PlatformError):
    """The content of an object does not match its digest."""

    def __init__(self, digest: str) -> None:
        super().__init__(f"the content of the object {digest} does not match its digest")
        self.digest = digest


class RequestError(CactusvaneError):
    """A caller's request ended without a complete response from a target.

    Parameters
    ----------
    status
        HTTP status of the response to the caller.
    code
        Short machine-readable reason, for example ``no-target``.
    text
        Human-readable reason.
    verdict
        Whether the request may have run.
    retry_after_ms
        Time after which the caller may retry, in milliseconds, or None if it is not known.
    """

    def __init__(
        self,
        status: int,
        code: str,
        text: str,
        verdict: Verdict,
        retry_after_ms: float | None = None,
    ) -> None:
        super().__init__(text)
        self.retry_after_ms = retry_after_ms
        self.status = status
        self.code = code
        self.text = text
        self.verdict = verdict


class ExchangeError(CactusvaneError):
    """An HTTP exchange with a target or with the platform failed.

    Parameters
    ----------
    text
        Human-readable reason.
    verdict
        Whether the peer may have run the request.
    """

    def __init__(self, text: str, verdict: Verdict) -> None:
        super().__init__(text)
        self.verdict = verdict


class ConnectError(ExchangeError):
    """No usable connection was available, so nothing was sent."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.NOT_RUN)


class BrokenResponseError(ExchangeError):
    """The response was late, incomplete or not valid HTTP; the request may have run."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.MAY_HAVE_RUN)
