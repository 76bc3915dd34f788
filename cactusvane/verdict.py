"""Verdicts: what is known about whether a request has run at a target."""

from enum import Enum


class Verdict(Enum):
    """Whether a request may have run; callers find the value in a header of the response.

    Examples
    --------
    >>> Verdict.NOT_RUN.permits_retry(idempotent=False)
    True
    >>> Verdict.MAY_HAVE_RUN.permits_retry(idempotent=False)
    False
    """

    NOT_RUN = "not-run"
    """It is proved that no byte reached a target, or the target reported that it did not start."""

    RAN = "ran"
    """The complete response was received from the target."""

    MAY_HAVE_RUN = "may-have-run"
    """The request was sent, but no complete response was received."""

    def permits_retry(self, idempotent: bool) -> bool:
        """Return whether the request may be retried after this verdict.

        Parameters
        ----------
        idempotent
            Whether the service configuration declares the request idempotent.

        Returns
        -------
        bool
            True if another attempt cannot run the request twice, or if running it twice is
            harmless.
        """
        match self:
            case Verdict.NOT_RUN:
                return True
            case Verdict.RAN:
                return False
            case Verdict.MAY_HAVE_RUN:
                return idempotent
