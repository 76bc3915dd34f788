"""The exception tree: every error cactusvane raises on purpose derives from one class."""

from cactusvane.verdict import Verdict


class CactusvaneError(Exception):
    """Base of all errors; its text is meant for the person reading it."""


class InputError(CactusvaneError):
    """Something a person wrote cannot be used as it stands."""


class SettingsError(InputError):
    """A daemon's settings file is missing, unreadable or wrong."""


class ServiceFileError(InputError):
    """An operators' file is wrong.

    Parameters
    ----------
    file
        Path of the file.
    path
        Where in the file the fault lies, for example ``routes[0].path``.
    value
        The offending value, as JSON text.
    remedy
        What would do instead.
    """

    def __init__(self, file: str, path: str, value: str, remedy: str) -> None:
        super().__init__(f"{file}: {path}: {value}: {remedy}")
        self.file = file
        self.path = path
        self.value = value
        self.remedy = remedy


class ConfigurationConflictError(InputError):
    """Two operators changed the same service at the same time."""

    def __init__(self, services: tuple[str, ...]) -> None:
        names = ", ".join(services)
        super().__init__(f"someone else changed the same service meanwhile: {names}")
        self.services = services


class PlatformError(CactusvaneError):
    """The platform's service did not do what was asked."""


class PlatformUnavailableError(PlatformError):
    """No answer came; a write may have taken effect all the same."""


class PublishUnsettledError(PlatformUnavailableError):
    """The platform went silent while a publish was being accepted.

    Parameters
    ----------
    publish_id
        Publishing again with it settles the matter and cannot publish twice.
    """

    def __init__(self, publish_id: str) -> None:
        super().__init__(
            "the platform went silent; the change may have been accepted. "
            f"Publish again with --id {publish_id} to find out; this cannot publish twice"
        )
        self.publish_id = publish_id


class WriteConflictError(PlatformError):
    """A conditional write found another version than it expected; nothing was written."""


class NotFoundError(PlatformError):
    """The row or object does not exist."""


class DigestError(PlatformError):
    """An object is not the one that was asked for."""

    def __init__(self, digest: str) -> None:
        super().__init__(f"the object fetched as {digest} has another content")
        self.digest = digest


class RequestError(CactusvaneError):
    """A caller's request ended without a whole answer from a target.

    Parameters
    ----------
    status
        HTTP status for the caller.
    code
        Short machine-readable reason, for example ``no-target``.
    text
        The reason for a person.
    verdict
        Whether the request may have run.
    retry_after_ms
        When the caller may come back, in milliseconds; None where that is not known.
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
        What went wrong.
    verdict
        Whether the peer may have acted on the request.
    """

    def __init__(self, text: str, verdict: Verdict) -> None:
        super().__init__(text)
        self.verdict = verdict


class ConnectError(ExchangeError):
    """No connection could be made, so nothing was sent."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.NOT_RUN)


class BrokenResponseError(ExchangeError):
    """The answer was late, cut off, or not HTTP; the request may have run."""

    def __init__(self, text: str) -> None:
        super().__init__(text, Verdict.MAY_HAVE_RUN)
