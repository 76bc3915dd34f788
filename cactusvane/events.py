"""Numbered log events and the formatter that writes them as JSON lines.

``docs/reference/events.md`` lists every event; a test compares it with this module.
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
        Stable number that operators search for.
    level
        Level of the standard `logging` module.
    text
        Message template in `str.format` form.
    """

    number: int
    level: int
    text: str


class Event(Enum):
    """Every event that the daemon and the command line log."""

    DAEMON_STARTED = EventKind(1001, logging.INFO, "{vm} listens on {address}")
    DAEMON_READY = EventKind(1002, logging.INFO, "{vm} is ready with configuration {version}")
    DAEMON_DRAINING = EventKind(1003, logging.INFO, "{vm} takes no new connections")
    DAEMON_STOPPED = EventKind(1004, logging.INFO, "{vm} stopped")
    DAEMON_TASK_FAILED = EventKind(1005, logging.ERROR, "background work failed: {error}")
    HTTP_HANDLER_FAILED = EventKind(1101, logging.ERROR, "a request met an internal error: {error}")
    HTTP_SEND_FAILED = EventKind(1102, logging.ERROR, "an answer could not be sent: {error}")
    HTTP_REFUSED = EventKind(1103, logging.INFO, "a caller's bytes were refused: {status}, {code}")
    TARGET_EJECTED = EventKind(1201, logging.WARNING, "{service}: {target} is out: {reason}")
    TARGET_RETURNED = EventKind(1202, logging.INFO, "{service}: {target} is back")
    OWN_PATH_SUSPECTED = EventKind(1203, logging.WARNING, "{service}: this VM's path looks broken")
    OWN_PATH_CLEARED = EventKind(1204, logging.INFO, "{service}: this VM's path is well again")
    KEEPER_LATE = EventKind(1301, logging.WARNING, "{service}: the keeper of slots is late")
    FLEET_CHANGED = EventKind(1401, logging.INFO, "{vms} VMs of the fleet are live")
    KEEPER_CHANGED = EventKind(1402, logging.INFO, "{service}: {vm} is the keeper")
    LISTED_BY_PEER = EventKind(1403, logging.INFO, "took the VM list from another VM: {vms} VMs")

    CLAIM_BUDGET_SPENT = EventKind(1501, logging.WARNING, "no write is left for the claim {key}")
    CLAIM_OUTCOME_DROPPED = EventKind(
        1502, logging.ERROR, "too many writes wait; the outcome of {key} is not recorded"
    )
    CONFIGURATION_ADOPTED = EventKind(1601, logging.INFO, "version {version} is in force")
    CONFIGURATION_REJECTED = EventKind(
        1602, logging.WARNING, "version {version} was not taken: {reason}"
    )
    CONFIGURATION_UNREADABLE = EventKind(1603, logging.WARNING, "cannot read the head: {reason}")
    CONFIGURATION_READABLE = EventKind(1604, logging.INFO, "the head can be read again")
    CONFIGURATION_UNUSABLE = EventKind(
        1605, logging.WARNING, "a configuration was passed over: {reason}"
    )
    TABLE_LOST = EventKind(1701, logging.WARNING, "{table}: the platform does not answer: {reason}")
    TABLE_REGAINED = EventKind(
        1702, logging.INFO, "{table}: the platform answers again; version {version} is known"
    )
    TABLE_CHANGED = EventKind(
        1703, logging.INFO, "{table}: version {version} from {source}, {rows} rows differ"
    )
    HISTORY_LOST = EventKind(
        1704, logging.WARNING, "{table}: the changes after version {version} are lost"
    )
    PULL_FAILED = EventKind(
        1705, logging.WARNING, "{table}: {peer} did not tell its changes: {reason}"
    )
    ROW_UNUSABLE = EventKind(1706, logging.WARNING, "{table}: row {key} was passed over: {reason}")
    NOTICE_UNUSABLE = EventKind(1707, logging.WARNING, "a notice was passed over: {reason}")
    RELAY_CHANGED = EventKind(1708, logging.INFO, "{relay} passes on notices after {before}")
    TARGET_LISTED = EventKind(
        1801, logging.INFO, "{service}: {target} at {address} is listed, {state}"
    )
    TARGET_UNLISTED = EventKind(1802, logging.INFO, "{service}: {target} at {address} is gone")
    REQUEST_ATTEMPTED = EventKind(1804, logging.INFO, "{request}: {target}: {outcome}")
    REQUEST_ENDED = EventKind(1805, logging.INFO, "{request}: {status}, {verdict}")
    LINES_DROPPED = EventKind(1901, logging.WARNING, "{lines} log lines were dropped")
    SETTINGS_RELOADED = EventKind(1006, logging.INFO, "{vm} read its settings again")


class JsonLines(logging.Formatter):
    """Format each record as one JSON object on one line.

    Parameters
    ----------
    vm
        The VM that logs; a member of every line.
    """

    def __init__(self, vm: str) -> None:
        super().__init__()
        self.vm = vm

    def format(self, record: logging.LogRecord) -> str:
        """Return the record as JSON text.

        Parameters
        ----------
        record
            A record of the standard `logging` module; `write` attaches the event's fields.

        Returns
        -------
        str
            One JSON object without a line break.
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
    """Log `event` with the fields its text names.

    Parameters
    ----------
    event
        Which event happened.
    fields
        Values for the template; they also appear as members of the JSON line.
    """
    kind = event.value
    if log.isEnabledFor(kind.level):
        text = kind.text.format(**fields)
        log.log(kind.level, "%s", text, extra={"number": kind.number, "fields": fields})


def dropped_line(lines: int) -> str:
    """Return the line that says how many lines were dropped."""
    kind = Event.LINES_DROPPED.value
    line = {"time": time.time(), "level": "warning", "event": kind.number, "lines": lines}
    line["message"] = kind.text.format(lines=lines)
    return msgspec.json.encode(line).decode()


def configure(vm: str, level: int = logging.INFO) -> None:
    """Send all events of a VM to standard output as JSON lines, from `level` upward."""
    handler = BoundedHandler(STANDARD_OUTPUT, dropped_line)
    handler.setFormatter(JsonLines(vm))
    log.addHandler(handler)
    log.setLevel(level)
    log.propagate = False
