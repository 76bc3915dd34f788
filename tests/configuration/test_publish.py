import asyncio
from dataclasses import replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.configuration.merge import Change, digest_services
from cactusvane.configuration.model import Configuration, Route, Service
from cactusvane.configuration.publish import Published, publish, read_base, read_head
from cactusvane.configuration.tree import fetch_tree
from cactusvane.errors import (
    ConfigurationConflictError,
    PlatformUnavailableError,
    PublishUnsettledError,
)
from cactusvane.store.interface import Row, Write
from standins.store import Faults
from tests.fakes import FakePlatform


def service(name: str, slots: int = 4) -> Service:
    route = Route("/", ("GET",), True, "kind")
    return Service(name, (f"{name}.test",), (route,), 3, 2, slots)


async def no_sleep(ms: float) -> None:
    await asyncio.sleep(0)


def run(platform: FakePlatform, change: Change, publish_id: str = "p") -> Published:
    return asyncio.run(publish(platform, change, publish_id, no_sleep))


def active_slots(platform: FakePlatform) -> dict[str, int]:
    base = asyncio.run(read_base(platform))
    return {service.name: service.slots for service in base.tree.configuration.services}


def after_first() -> tuple[FakePlatform, dict[str, str]]:
    platform = FakePlatform()
    run(platform, Change((service("a"), service("b"))), "first")
    return platform, digest_services(Configuration((service("a"), service("b"))))


def test_concurrent_changes_to_different_services_are_merged():
    platform, base = after_first()
    run(platform, Change((service("a", 5), service("b")), base=base), "one")
    published = run(platform, Change((service("a"), service("b", 6)), base=base), "two")
    assert published.changed == ("b",)
    assert active_slots(platform) == {"a": 5, "b": 6}


def test_concurrent_changes_to_one_service_raise_a_conflict_that_names_it():
    platform, base = after_first()
    run(platform, Change((service("a", 5),), base=base), "one")
    with pytest.raises(ConfigurationConflictError, match="a") as caught:
        run(platform, Change((service("a", 6),), base=base), "two")
    assert caught.value.services == ("a",)
    assert active_slots(platform) == {"a": 5, "b": 4}
    run(platform, Change((service("a", 6),), base=base, overwrite=True), "three")
    assert active_slots(platform) == {"a": 6, "b": 4}


def test_change_without_a_base_overwrites_nothing():
    platform, _ = after_first()
    with pytest.raises(ConfigurationConflictError):
        run(platform, Change((service("a", 9), service("c"))), "one")


def test_removal_conflicts_with_a_change():
    platform, base = after_first()
    run(platform, Change(removed=("b",), base=base), "one")
    assert active_slots(platform) == {"a": 4}
    with pytest.raises(ConfigurationConflictError):
        run(platform, Change((service("b", 7),), base=base), "two")


class LosingPlatform(FakePlatform):
    """Loses the response to a commit and runs another publish before the retry."""

    def __init__(self, lost: int) -> None:
        super().__init__()
        self.lost = lost

    async def commit(self, writes: tuple[Write, ...]) -> None:
        await super().commit(writes)
        if self.lost:
            self.lost -= 1
            base = (await read_base(self)).tree.configuration
            await publish(self, Change((service("other"),)), f"other-{self.lost}", no_sleep)
            assert len(base.services) >= 1
            raise PlatformUnavailableError("the response was lost")


def test_lost_response_is_resolved_after_the_head_has_changed():
    platform = LosingPlatform(lost=1)
    published = run(platform, Change((service("a"),)), "mine")
    assert published.head.version == 1
    assert active_slots(platform) == {"a": 4, "other": 4}
    again = run(platform, Change((service("a", 9),)), "mine")
    assert again.head.version == 1
    assert active_slots(platform)["a"] == 4


def test_publish_while_the_platform_is_down_is_not_reported_as_unsettled():
    platform, base = after_first()
    platform.faults = Faults(down=True)
    with pytest.raises(PlatformUnavailableError) as caught:
        run(platform, Change((service("a", 5),), base=base))
    assert not isinstance(caught.value, PublishUnsettledError)


class DownAfterCommit(FakePlatform):
    async def commit(self, writes: tuple[Write, ...]) -> None:
        await super().commit(writes)
        self.faults = Faults(down=True)
        raise PlatformUnavailableError("the response was lost")


def test_unsettled_publish_is_resolved_by_its_id():
    platform = DownAfterCommit()
    with pytest.raises(PublishUnsettledError) as caught:
        run(platform, Change((service("a"),)), "mine")
    assert "--id mine" in str(caught.value)
    platform.faults = Faults()
    assert run(platform, Change((service("a"),)), "mine").head.version == 1


class Interleaved(FakePlatform):
    """Yields at each step and loses responses by a script, so that publishers interleave."""

    def __init__(self, steps: list[int]) -> None:
        super().__init__()
        self.steps = steps

    async def between(self) -> None:
        step = self.steps.pop() if self.steps else 0
        if step == 3:
            self.faults = replace(self.faults, lose_answers=1)
        for _ in range(step):
            await asyncio.sleep(0)

    async def read(self, table: str, key: str) -> Row | None:
        await self.between()
        return await super().read(table, key)

    async def commit(self, writes: tuple[Write, ...]) -> None:
        await self.between()
        await super().commit(writes)


NAMES = ("a", "b", "c")


@settings(derandomize=True, deadline=None)
@given(
    st.lists(st.integers(0, 3), max_size=40),
    st.lists(
        st.dictionaries(st.sampled_from(NAMES), st.integers(5, 9), min_size=1),
        min_size=2,
        max_size=4,
    ),
)
def test_concurrent_publishers_lose_no_change(steps: list[int], edits: list[dict[str, int]]):
    async def race() -> None:
        platform = Interleaved([])
        first = Configuration(tuple(service(name) for name in NAMES))
        await publish(platform, Change(first.services), "first", no_sleep)
        platform.steps = steps
        changes = [
            Change(
                tuple(service(name, edit.get(name, 4)) for name in NAMES),
                base=digest_services(first),
            )
            for edit in edits
        ]
        results = await asyncio.gather(
            *(publish(platform, change, f"p{n}", no_sleep) for n, change in enumerate(changes)),
            return_exceptions=True,
        )
        platform.steps = []
        head = await read_head(platform)
        assert head is not None
        final = (await fetch_tree(platform.get_object, head.digest)).configuration
        slots = {service.name: service.slots for service in final.services}
        for edit, result in zip(edits, results, strict=True):
            if isinstance(result, Published):
                assert slots | edit == slots
            else:
                assert isinstance(result, ConfigurationConflictError)
        assert any(isinstance(result, Published) for result in results)

    asyncio.run(race())
