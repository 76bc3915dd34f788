"""Entry that chooses targets with the help of keepers."""

from random import Random

from cactusvane.clock import Clock
from cactusvane.entry import Entry
from cactusvane.http.connection import FreshConnections
from cactusvane.http.memory import budgets_for
from cactusvane.metrics import Recorder
from cactusvane.settings import Settings
from cactusvane.slots.placer import KeeperPlacer


class KeeperEntry(Entry):
    """Handles callers' requests; meant for services with hundreds of requests per second.

    Parameters
    ----------
    settings
        Settings of the daemon.
    clock
        Clock of the process.
    random
        Source of all random choices.
    recorder
        Recorder of the metrics.
    """

    def __init__(
        self, settings: Settings, clock: Clock, random: Random, recorder: Recorder
    ) -> None:
        budgets = recorder.budgets = budgets_for(settings.memory_mb)
        connections = FreshConnections(settings.http, clock, budgets=budgets)
        self.keeper_placer = KeeperPlacer(settings, clock, random, recorder, connections)
        super().__init__(settings, clock, random, recorder, self.keeper_placer, connections)
