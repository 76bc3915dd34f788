"""Which connections of a server give way when there is no place for a new one.

A client that keeps connections open without completing a request must not keep others out. When the
maximum number of connections is reached, the connection that has received no byte for the longest
time is closed; one whose request was passed to the handler never is.

Performs no I/O.
"""

from collections import OrderedDict
from collections.abc import Hashable
from enum import Enum, auto
from typing import Generic, TypeVar

FRESH_MS = 1_000.0
"""Time in milliseconds for which a connection without a request stays behind unfinished requests:
the first bytes of a new caller arrive shortly after its connection."""

UNREAD_MS = 5_000.0
"""Time in milliseconds for which a caller may read no complete response before it gives way."""

Connection = TypeVar("Connection", bound=Hashable)


class Activity(Enum):
    """What a connection is doing, as far as it matters for who gives way.

    A connection that is `CLOSING` only waits for its last bytes to be read, one that is `IDLE` has
    no request, and one that is `RECEIVING` has received a part of a request. One that is `RUNNING`
    has a request that was passed to the handler. One that is `UNREAD` has only requests whose
    responses are complete, and its caller does not read them.
    """

    CLOSING = auto()
    IDLE = auto()
    RECEIVING = auto()
    RUNNING = auto()
    UNREAD = auto()


class Places(Generic[Connection]):
    """The connections of a server by activity, each group ordered by when it last received a byte.

    Attributes
    ----------
    groups
        For each activity the connections, with the time at which each last received a byte or
        changed its activity, in milliseconds.

    Examples
    --------
    >>> places = Places()
    >>> places.put("a", Activity.RUNNING, 0.0)
    >>> places.put("b", Activity.RECEIVING, 10.0)
    >>> places.put("c", Activity.IDLE, 20.0)
    >>> places.find_displaceable(500.0), places.find_displaceable(5_000.0)
    ('b', 'c')
    >>> places.remove("b")
    >>> places.remove("c")
    >>> places.find_displaceable(5_000.0) is None
    True
    """

    def __init__(self) -> None:
        self.groups: dict[Activity, OrderedDict[Connection, float]] = {
            activity: OrderedDict() for activity in Activity
        }
        self.activities: dict[Connection, Activity] = {}

    def __len__(self) -> int:
        return len(self.activities)

    def put(self, connection: Connection, activity: Activity, now: float) -> None:
        """Record what a connection does since `now`, or that it received a byte then."""
        before = self.activities.get(connection)
        group = self.groups[activity]
        if before is activity:
            group.move_to_end(connection)
        else:
            if before is not None:
                del self.groups[before][connection]
            self.activities[connection] = activity
        group[connection] = now

    def remove(self, connection: Connection) -> None:
        """Remove a connection."""
        activity = self.activities.pop(connection, None)
        if activity is not None:
            del self.groups[activity][connection]

    def silent_ms(self, connection: Connection, now: float) -> float:
        """Return the time since a connection last received a byte, in milliseconds."""
        return now - self.groups[self.activities[connection]][connection]

    def find_displaceable(self, now: float) -> Connection | None:
        """Return the connection that gives way to a new one; None if all run a request."""
        for activity, min_silent_ms in (
            (Activity.CLOSING, 0.0),
            (Activity.IDLE, FRESH_MS),
            (Activity.RECEIVING, 0.0),
            (Activity.IDLE, 0.0),
            (Activity.UNREAD, UNREAD_MS),
        ):
            found = self.longest_silent(activity, now, min_silent_ms)
            if found is not None:
                return found
        return None

    def longest_silent(
        self, activity: Activity, now: float, min_silent_ms: float
    ) -> Connection | None:
        """Return the connection of a group that has received no byte for the longest time.

        Parameters
        ----------
        activity
            The group.
        now
            Time of the clock in milliseconds.
        min_silent_ms
            Minimum time without a byte; None is returned if no connection was silent that long.
        """
        for connection, since in self.groups[activity].items():
            return connection if now - since >= min_silent_ms else None
        return None
