"""Bounds on the bytes that all exchanges of a process hold together.

A bound for each exchange alone does not bound their sum. `ByteBudget` counts what all of them hold.
While it is exhausted, connections read on only what they need to make progress, so that the
kernel's flow control holds the rest, and large uploads are rejected.

Performs no I/O.
"""

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from math import inf

from cactusvane.http.turns import Turns

MEGABYTE = 1_000_000

SMALL_BYTES = 16_384
"""What each exchange may hold whatever the others hold, so that it makes progress."""

RESPONSE_SHARE = 0.2
"""Share of the memory for responses between targets and callers."""

UPLOAD_SHARE = 0.33
"""Share of the memory for the bodies of requests, which are buffered completely."""


class ClosingReason(Enum):
    """Why a caller's connection was closed although the caller did not ask for it."""

    DISPLACED = "displaced"
    """It gave way to a new connection, or its unfinished body to another body."""

    STALLED = "stalled"
    """A head or a body did not arrive in time."""

    UNREAD = "unread"
    """The caller did not read what was sent."""

    BUSY = "busy"
    """There was no place for it."""

    ADDRESS_FULL = "address-full"
    """Its client address had all the connections that one address may have."""


class ByteBudget:
    """Number of bytes that the exchanges of a process may hold for one purpose.

    Parameters
    ----------
    limit
        Number of bytes above which it counts as exhausted.
    parent
        Budget of which this one is a part; what is held counts against both.

    Attributes
    ----------
    held
        Number of bytes that are held.
    times_short
        How often it became exhausted.

    Examples
    --------
    >>> budget = ByteBudget(100_000)
    >>> upload = budget.open()
    >>> upload.take(90_000), budget.open().take(90_000), budget.open().take(10_000)
    (True, False, True)
    >>> upload.release()
    >>> budget.held
    10000
    """

    def __init__(self, limit: float = inf, parent: "ByteBudget | None" = None) -> None:
        self.limit = limit
        self.parent = parent
        self.held = 0
        self.times_short = 0
        self.waiting: dict[Callable[[], None], None] = {}

    @property
    def is_exhausted(self) -> bool:
        """Whether exchanges should hold no more than `SMALL_BYTES` each."""
        return self.held >= self.limit

    def fits(self, size: int) -> bool:
        """Return whether `size` more bytes can be held."""
        if self.held + size > self.limit:
            return False
        return self.parent is None or self.parent.fits(size)

    def open(self) -> "Holding":
        """Return the account of a new exchange."""
        return Holding(self)

    def change(self, difference: int) -> None:
        """Add to the bytes that are held; wake those that wait for bytes to be released."""
        was_exhausted = self.is_exhausted
        self.held += difference
        if self.parent is not None:
            self.parent.change(difference)
        if self.is_exhausted and not was_exhausted:
            self.times_short += 1
        if self.waiting and not self.is_exhausted:
            waiting, self.waiting = self.waiting, {}
            for resume in waiting:
                resume()

    def wait(self, resume: Callable[[], None]) -> None:
        """Call `resume` once the budget is no longer exhausted."""
        self.waiting[resume] = None

    def forget(self, resume: Callable[[], None]) -> None:
        """Do not call `resume` any more."""
        self.waiting.pop(resume, None)


class Holding:
    """What one exchange holds of a budget.

    Parameters
    ----------
    budget
        The budget that it counts against.
    """

    def __init__(self, budget: ByteBudget) -> None:
        self.budget = budget
        self.size = 0

    @property
    def may_grow(self) -> bool:
        """Whether the exchange may hold more than it does."""
        return self.size < SMALL_BYTES or not self.budget.is_exhausted

    def set(self, size: int) -> None:
        """Set the number of bytes that the exchange holds."""
        difference, self.size = size - self.size, size
        if difference:
            self.budget.change(difference)

    def take(self, size: int) -> bool:
        """Set the number of bytes if the budget allows it; return whether it does."""
        if size > SMALL_BYTES and not self.budget.fits(size - self.size):
            self.budget.times_short += 1
            return False
        self.set(size)
        return True

    def release(self) -> None:
        """Release all bytes."""
        self.set(0)


@dataclass(frozen=True, slots=True)
class Budgets:
    """What the connections of a process share.

    Parameters
    ----------
    responses
        Bytes that were received from targets and have not been sent to callers yet.
    uploads
        Bytes of the bodies of requests.
    turns
        Turns of the event loop for bytes that take long to handle.
    closed
        Number of callers' connections that this process closed, by reason.
    """

    responses: ByteBudget = field(default_factory=ByteBudget)
    uploads: ByteBudget = field(default_factory=ByteBudget)
    turns: Turns = field(default_factory=Turns)
    closed: Counter[ClosingReason] = field(default_factory=Counter)


def budgets_for(memory_mb: float) -> Budgets:
    """Return the budgets of a process with this memory, in megabytes."""
    memory = memory_mb * MEGABYTE
    return Budgets(ByteBudget(RESPONSE_SHARE * memory), ByteBudget(UPLOAD_SHARE * memory))
