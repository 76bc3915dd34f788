"""Numbered log events and the formatter that writes them as JSON lines.

``docs/reference/events.md`` lists every event; a test compares that page with this module.
"""

import logging
import time
from dataclasses import dataclass
from enum import Enum

import msgspec

from cactusvane.logs import STANDARD_OUTPUT, BoundedHandler

log = logging.getLogger("cactusvane")


@dataclass(frozen=True, slots=True)
class EventKind:
    """The fixed part of an event.

    Parameters
    ----------
    number
        Stable number of the event, which operators search for.
    level
        Level of the standard `logging` module.
    text
        Message template for `str.format`.
    """

    number: int
    level: int
    text: str


class Event(Enum):
    """All events that the daemon and the command line log."""

    DAEMON_STARTED = EventKind(1001, logging.INFO, "{vm} is listening on {address}")
    DAEMON_READY = EventKind(
        1002, logging.INFO, "{vm} is ready with configuration version {version}"
    )
    DAEMON_DRAINING = EventKind(1003, logging.INFO, "{vm} is draining")
    DAEMON_STOPPED = EventKind(1004, logging.INFO, "{vm} stopped")
    DAEMON_TASK_FAILED = EventKind(1005, logging.ERROR, "a background task failed: {error}")
    HTTP_HANDLER_FAILED = EventKind(
        1101, logging.ERROR, "a request handler failed with an internal error: {error}"
    )
    HTTP_SEND_FAILED = EventKind(1102, logging.ERROR, "a response could not be sent: {error}")
    HTTP_REFUSED = EventKind(1103, logging.INFO, "rejected a caller's request: {status}, {code}")
    HTTP_UNANSWERED = EventKind(
        1104, logging.INFO, "a connection ended with {count} requests unanswered: {reason}"
    )
    HTTP_CLIENT_CLOSED = EventKind(
        1105, logging.INFO, "closed the connection of a client at {address}: {reason}"
    )
    TARGET_EJECTED = EventKind(1201, logging.WARNING, "{service}: {target} was ejected: {reason}")
    TARGET_RETURNED = EventKind(1202, logging.INFO, "{service}: {target} was restored")
    OWN_PATH_SUSPECTED = EventKind(
        1203, logging.WARNING, "{service}: this VM's own network path appears to be failing"
    )
    OWN_PATH_CLEARED = EventKind(
        1204, logging.INFO, "{service}: this VM's own network path is healthy again"
    )
    KEEPER_LATE = EventKind(
        1301, logging.WARNING, "{service}: the keeper has not responded to a credit request in time"
    )
    FLEET_CHANGED = EventKind(1401, logging.INFO, "{vms} VMs of the fleet are live")
    KEEPER_CHANGED = EventKind(1402, logging.INFO, "{service}: {vm} is now the keeper")
    LISTED_BY_PEER = EventKind(
        1403, logging.INFO, "received the VM list from another VM: {vms} VMs"
    )

    CLAIM_BUDGET_SPENT = EventKind(
        1501, logging.WARNING, "the write budget is exhausted for claim {key}"
    )
    CLAIM_OUTCOME_DROPPED = EventKind(
        1502, logging.ERROR, "too many writes are pending; the outcome of {key} is not recorded"
    )
    CONFIGURATION_ADOPTED = EventKind(
        1601, logging.INFO, "configuration version {version} is active"
    )
    CONFIGURATION_REJECTED = EventKind(
        1602, logging.WARNING, "configuration version {version} was rejected: {reason}"
    )
    CONFIGURATION_UNREADABLE = EventKind(
        1603, logging.WARNING, "cannot read the configuration head: {reason}"
    )
    CONFIGURATION_READABLE = EventKind(
        1604, logging.INFO, "the configuration head can be read again"
    )
    CONFIGURATION_UNUSABLE = EventKind(
        1605, logging.WARNING, "skipped an unusable configuration: {reason}"
    )
    CONFIGURATION_PULLED = EventKind(
        1606, logging.INFO, "configuration version {version} is active after a pull from {peer}"
    )
    CONFIGURATION_UNCONFIRMED = EventKind(
        1607,
        logging.WARNING,
        "no other VM was heard that could have a newer configuration than version {version}",
    )
    BODIES_TOO_LARGE = EventKind(
        1608,
        logging.WARNING,
        "configuration version {version} allows bodies of {body_bytes} bytes; "
        "this VM has {memory_bytes} bytes for all of them",
    )
    KEYS_CHANGED = EventKind(
        1609,
        logging.INFO,
        "configuration version {version} has {customers} customers; "
        "{added} keys were added and {removed} removed",
    )
    LEASE_GAINED = EventKind(
        1621,
        logging.INFO,
        "the configuration is known to have been current {age_ms} ms ago, from {source}; "
        "requests with a key are accepted",
    )
    LEASE_LOST = EventKind(
        1622,
        logging.WARNING,
        "the configuration was last known to be current {age_ms} ms ago, from {source}; "
        "requests with a key are rejected",
    )
    CONFIRMATION_FAILED = EventKind(
        1623,
        logging.WARNING,
        "the platform does not confirm that the configuration is current: {reason}",
    )
    CONFIGURATION_OUTDATED = EventKind(
        1624,
        logging.INFO,
        "the platform has another configuration than version {version} of era {era}",
    )
    TABLE_LOST = EventKind(
        1701, logging.WARNING, "{table}: the platform does not respond: {reason}"
    )
    TABLE_REGAINED = EventKind(
        1702, logging.INFO, "{table}: the platform responds again; the known version is {version}"
    )
    TABLE_CHANGED = EventKind(
        1703,
        logging.INFO,
        "{table}: updated to version {version} from {source}, {rows} rows changed",
    )
    HISTORY_LOST = EventKind(
        1704,
        logging.WARNING,
        "{table}: the changes after version {version} are no longer available",
    )
    PULL_FAILED = EventKind(
        1705, logging.WARNING, "{table}: could not fetch the changes from {peer}: {reason}"
    )
    ROW_UNUSABLE = EventKind(
        1706, logging.WARNING, "{table}: skipped row {key}, which is unusable: {reason}"
    )
    NOTICE_UNUSABLE = EventKind(1707, logging.WARNING, "skipped an invalid state update: {reason}")
    RELAY_CHANGED = EventKind(1708, logging.INFO, "{relay} is now the relay; it was {before}")
    STORE_RESTORED = EventKind(
        1709,
        logging.WARNING,
        "{table}: the platform came back from an older copy: version {version} of era {era}, "
        "after version {known_version} of era {known_era}",
    )
    ROWS_REFUSED = EventKind(
        1710,
        logging.WARNING,
        "{table}: ignored rows of version {version} of era {era}; "
        "version {known_version} of era {known_era} is known",
    )
    TARGET_LISTED = EventKind(
        1801, logging.INFO, "{service}: {target} at {address} is listed as {state}"
    )
    TARGET_UNLISTED = EventKind(
        1802, logging.INFO, "{service}: {target} at {address} is no longer listed"
    )
    RATE_LIMIT_CHANGED = EventKind(
        1806, logging.INFO, "{target} accepts {per_s} requests per second, according to {source}"
    )
    RATE_LIMIT_UNUSABLE = EventKind(
        1807, logging.WARNING, "{target} sent an unusable rate limit: {value}"
    )
    RATE_SHARE_CHANGED = EventKind(
        1808, logging.INFO, "{target}: this VM sends one request per {interval_ms} ms at most"
    )
    TARGET_ROW_OUTDATED = EventKind(
        1809,
        logging.INFO,
        "{service}: ignored the restored row of {target} as {state}; it is known as {known}",
    )
    TARGET_CLOSED_EARLY = EventKind(
        1810,
        logging.INFO,
        "{request}: {target} took the request and closed the connection without a response",
    )
    REQUEST_SUSPECTED = EventKind(
        1811,
        logging.WARNING,
        "request {fingerprint} may have crashed {targets} targets, after {before}; "
        "rejected: {rejected}",
    )
    REQUEST_FORGOTTEN = EventKind(
        1812, logging.INFO, "request {fingerprint} that had crashed targets is no longer rejected"
    )
    TARGET_LEAVING = EventKind(
        1813, logging.INFO, "{target} says that it leaves, according to {source}"
    )
    TARGET_PAUSED = EventKind(
        1814, logging.INFO, "{target} wants no request from this VM for {pause_ms} ms"
    )
    NOTICE_FIELD_UNUSABLE = EventKind(
        1815, logging.WARNING, "{target} sent a field without a meaning: {field}: {value}"
    )
    REQUEST_LATE = EventKind(
        1817, logging.INFO, "{request}: not sent, since this VM stops in {left_ms} ms"
    )
    TARGET_RETAINED = EventKind(
        1816,
        logging.INFO,
        "{service}: {target} is used for {for_ms} ms more without its registration, since {reason}",
    )
    REQUEST_ATTEMPTED = EventKind(1804, logging.INFO, "{request}: {target}: {outcome}")
    REQUEST_ENDED = EventKind(1805, logging.INFO, "{request}: {status}, {verdict}")
    QUOTA_EXCEEDED = EventKind(
        2101,
        logging.INFO,
        "{customer} is over its quota: level {level} of {capacity}, "
        "demand {demand_per_s} per second, {rejected} requests rejected since the previous line",
    )
    QUOTA_REACH_CHANGED = EventKind(
        2102,
        logging.WARNING,
        "quotas are shared with {share} of the fleet, after {before}; the others are silent",
    )
    QUOTA_LEVELS_ADOPTED = EventKind(
        2103, logging.INFO, "took over the levels of quotas from {sender}: {customers} not full"
    )
    LINES_DROPPED = EventKind(1901, logging.WARNING, "{lines} log lines were dropped")
    SETTINGS_KEPT = EventKind(
        1007, logging.WARNING, "{vm} keeps its settings, which it reads only when it starts"
    )
    SETTINGS_RELOADED = EventKind(1006, logging.INFO, "{vm} reloaded its settings")


class JsonLines(logging.Formatter):
    """Formats each record as one JSON object on one line.

    Parameters
    ----------
    vm
        Name of the logging VM, which every line contains.
    """

    def __init__(self, vm: str) -> None:
        super().__init__()
        self.vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON text.

        Parameters
        ----------
        record
            A record of the standard `logging` module, to which `write` attaches the event's
            fields.

        Returns
        -------
        str
            One JSON object without line breaks.
        """
        line: dict[str, object] = {
            "time": record.created,
            "vm": self.vm,
            "level": record.levelname.lower(),
            "event": getattr(record, "number", 0),
            "message": record.getMessage(),
        }
        line.update(getattr(record, "fields", {}))
        if record.exc_info:
            line["trace"] = self.formatException(record.exc_info)
        return msgspec.json.encode(line, enc_hook=str).decode()


def write(event: Event, **fields: object) -> None:
    """Log `event` with the given fields.

    Parameters
    ----------
    event
        The event to log.
    fields
        Values for the event's template, also written as members of the JSON line.
    """
    kind = event.value
    if log.isEnabledFor(kind.level):
        text = kind.text.format(**fields)
        log.log(kind.level, "%s", text, extra={"number": kind.number, "fields": fields})


def dropped_line(lines: int) -> str:
    """Return the log line that reports the number of dropped lines."""
    kind = Event.LINES_DROPPED.value
    line = {"time": time.time(), "level": "warning", "event": kind.number, "lines": lines}
    line["message"] = kind.text.format(lines=lines)
    return msgspec.json.encode(line).decode()


def configure(vm: str, level: int = logging.INFO) -> None:
    """Write the events of a VM, from `level` upward, to standard output as JSON lines."""
    handler = BoundedHandler(STANDARD_OUTPUT, dropped_line)
    handler.setFormatter(JsonLines(vm))
    log.addHandler(handler)
    log.setLevel(level)
    log.propagate = False
