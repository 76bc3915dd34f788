"""Notices to other failure domains, with a directory that may not respond."""

import asyncio
from collections.abc import Iterable
from random import Random

from cactusvane.clock import ManualClock
from cactusvane.errors import PlatformUnavailableError
from cactusvane.fleet.vm import Address, Vm
from cactusvane.following.notifier import CrashNotifier
from cactusvane.following.other_entries import (
    DIRECTORY_REFRESH_MS,
    DIRECTORY_RETRY_MS,
    OtherEntries,
)
from cactusvane.placement.messages import Message
from cactusvane.request.crashes import CrashRecord
from cactusvane.settings import Settings

DEADLY = b"d" * 16
OWN = Address("10.0.0.1", 7_200)
SEED = Address("10.0.0.9", 8_382)


class Directory:
    """A directory with one entry in each other failure domain, which may be down."""

    def __init__(self) -> None:
        self.down = False
        self.reads = 0

    async def registered(self, failure_domain: str) -> tuple[Vm, ...]:
        self.reads += 1
        if self.down:
            raise PlatformUnavailableError("down")
        address = Address(f"10.0.1.{len(failure_domain)}", 7_200)
        return (Vm(f"{failure_domain}-1", address, failure_domain, peer=address),)


class Notifier:
    """A notifier of one entry that has seen a request end two targets."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.directory = Directory()
        self.sent: list[list[Address]] = []
        crashes = CrashRecord()
        for number in range(2):
            crashes.record_crash(DEADLY, f"t{number}", 100.0 * number)
        settings = Settings("own", "estrie", OWN, OWN, OWN, OWN, peers=(SEED,))
        domains = ("estrie", "monteregie", "beauce")
        entries = OtherEntries(settings, domains, self.directory, self.clock)
        self.notifier = CrashNotifier(entries, crashes, self.send, self.clock, Random(1))

    def send(self, message: Message, to: Iterable[Address]) -> None:
        self.sent.append(sorted(to))

    def tell(self) -> None:
        asyncio.run(self.notifier.tell([DEADLY]))


def test_entries_of_all_other_failure_domains_are_told() -> None:
    notifier = Notifier()
    notifier.tell()
    assert notifier.sent == [[Address("10.0.1.10", 7_200), Address("10.0.1.6", 7_200)]]


def test_the_directory_is_read_seldom() -> None:
    notifier = Notifier()
    for _ in range(3):
        notifier.tell()
    assert notifier.directory.reads == 3
    notifier.clock.advance(DIRECTORY_REFRESH_MS)
    notifier.tell()
    assert notifier.directory.reads == 6


def test_the_seeds_are_told_while_the_directory_does_not_respond() -> None:
    notifier = Notifier()
    notifier.directory.down = True
    for _ in range(3):
        notifier.tell()
    assert notifier.sent == [[Address(SEED.host, OWN.port)]] * 3
    assert notifier.directory.reads == 1
    notifier.directory.down = False
    notifier.clock.advance(DIRECTORY_RETRY_MS)
    notifier.tell()
    assert len(notifier.sent[-1]) == 2


def test_foreign_entries_are_those_of_the_directory_or_else_the_seeds() -> None:
    """Queries for another failure domain's proof must not go to the entry itself."""
    notifier = Notifier()
    entries = notifier.notifier.entries
    assert entries.foreign_addresses() == [Address(SEED.host, OWN.port)]
    entries.seeds = (Address(OWN.host, 8_382),)
    assert entries.foreign_addresses() == []
    notifier.tell()
    assert len(entries.foreign_addresses()) == 2
