"""How many requests a target's rate limit allows."""

SPAN_S = 4.0
"""A rate limit bounds the requests in each span of this length."""

BINDING_S = 3.0
"""Time from the first response with a limit until the limit must be kept."""

ALLOWED_FACTOR = 1.5
ALLOWED_EXTRA = 5.0


def allowed_requests(per_s: float) -> float:
    """Return the number of requests in one span that a limit allows.

    Parameters
    ----------
    per_s
        The limit, in requests per second.
    """
    return ALLOWED_FACTOR * SPAN_S * per_s + ALLOWED_EXTRA
