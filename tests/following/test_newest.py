"""Which configuration of the other entries a starting entry waits for."""

import asyncio
from random import Random

from cactusvane.clock import ManualClock
from cactusvane.errors import PlatformUnavailableError
from cactusvane.fleet.vm import Address
from cactusvane.following.newest import CONFIRMATION_MS, NewestConfiguration
from cactusvane.placement.domain import Domain
from cactusvane.placement.messages import StateUpdate, StoreStatus


class Entry:
    """An entry with configuration 3 of the store; others may have newer ones."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.domain = Domain("own", "d", 1, Random(1))
        self.asked: list[Address] = []
        self.answer: dict[str, bytes] | None = {"config": b"9"}
        self.newest = NewestConfiguration(
            self.domain, self.fetch, self.offer, self.clock, Random(1), confirmed=False
        )
        self.newest.activated(3)

    async def fetch(self, address: Address) -> dict[str, bytes]:
        self.asked.append(address)
        if self.answer is None:
            raise PlatformUnavailableError("nobody")
        return self.answer

    def offer(self, rows: dict[str, bytes]) -> int:
        self.newest.activated(max(self.newest.version, int(rows["config"])))
        return self.newest.version

    def hear(self, number: int, version: int) -> StoreStatus:
        """Hear which configuration another entry has."""
        status = StoreStatus(True, 0.0, None, {}, configuration_version=version)
        update = StateUpdate(f"e{number}", 1, 1, {}, store_status=status)
        self.domain.receive(update, Address("10.0.0.1", number), self.clock.now())
        return status


def test_an_entry_that_hears_of_no_newer_configuration_is_confirmed() -> None:
    entry = Entry()
    assert not entry.newest.is_confirmed()
    entry.hear(1, 3)
    assert entry.newest.is_confirmed()


def test_a_newer_configuration_is_pulled_from_an_entry_that_has_it() -> None:
    entry = Entry()
    entry.hear(1, 3)
    assert entry.newest.should_pull(entry.hear(2, 9))
    assert not entry.newest.is_confirmed()
    asyncio.run(entry.newest.pull())
    assert [address.port for address in entry.asked] == [2]
    assert (entry.newest.version, entry.newest.is_confirmed()) == (9, True)


def test_an_entry_without_a_response_is_confirmed_after_some_time() -> None:
    entry = Entry()
    entry.answer = None
    entry.hear(1, 9)
    asyncio.run(entry.newest.pull())
    assert not entry.newest.is_confirmed()
    entry.clock.advance(CONFIRMATION_MS)
    assert entry.newest.is_confirmed()


def test_an_entry_that_is_alone_is_confirmed_at_once() -> None:
    entry = Entry()
    entry.newest.alone = True
    assert entry.newest.is_confirmed()
