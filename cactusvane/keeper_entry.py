"""An entry whose targets are chosen with the help of keepers."""

from random import Random

from cactusvane.clock import Clock
from cactusvane.entry import Entry
from cactusvane.http.connection import TargetConnections
from cactusvane.metrics import Recorder
from cactusvane.settings import Settings
from cactusvane.slots.placer import KeeperPlacer


class KeeperEntry(Entry):
    """Answers callers' requests; for services of hundreds of requests a second.

    Parameters
    ----------
    settings
        The daemon's settings.
    clock
        The process's clock.
    random
        Source of all random choices.
    recorder
        Counts what happens.
    """

    def __init__(
        self, settings: Settings, clock: Clock, random: Random, recorder: Recorder
    ) -> None:
        connections = TargetConnections(settings.http, clock)
        self.keeper_placer = KeeperPlacer(settings, clock, random, recorder, connections)
        super().__init__(settings, clock, random, recorder, self.keeper_placer, connections)
