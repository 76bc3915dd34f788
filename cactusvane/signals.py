"""Signals of a process, from its first line to its last.

Imports little, so that a process can hold signals back before it loads the rest.
"""

import asyncio
import signal
from collections.abc import Callable
from types import FrameType

RELOAD_SIGNAL = signal.SIGHUP
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class Signals:
    """Passes signals on, and keeps those that come early or late from ending the process.

    Attributes
    ----------
    reload_pending
        Whether a reload was requested before there was anything to reload.
    """

    def __init__(self) -> None:
        self.reload_pending = False

    def hold_reload(self) -> None:
        """Remember requests to reload until `handle` is called."""
        signal.signal(RELOAD_SIGNAL, self.note_reload)

    def note_reload(self, number: int, frame: FrameType | None) -> None:
        """Remember a request to reload."""
        self.reload_pending = True

    def handle(self, stop: Callable[[], None], reload: Callable[[], None]) -> None:
        """Call `stop` and `reload` on their signals; a remembered reload takes place now."""
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, stop)
        loop.add_signal_handler(RELOAD_SIGNAL, reload)
        if self.reload_pending:
            self.reload_pending = False
            reload()

    def ignore(self) -> None:
        """Ignore further signals, since the process is about to exit."""
        loop = asyncio.get_running_loop()
        for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
            loop.remove_signal_handler(number)
            signal.signal(number, signal.SIG_IGN)
