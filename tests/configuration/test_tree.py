import asyncio

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from cactusvane.configuration.model import Configuration
from cactusvane.configuration.tree import SHARDS, Tree, build_tree, fetch_tree, shard_index
from cactusvane.errors import DigestError, NotFoundError
from tests.configuration.test_publish import service

slots = st.dictionaries(st.sampled_from([f"s{n}" for n in range(12)]), st.integers(1, 3))


def tree_of(contents: dict[str, int]) -> Tree:
    return build_tree(
        Configuration(tuple(service(name, count) for name, count in contents.items()))
    )


class Store:
    """Serves the parts of one tree and keeps the digests that were fetched."""

    def __init__(self, tree: Tree) -> None:
        self.tree = tree
        self.fetched: list[str] = []

    async def fetch(self, wanted: str) -> bytes:
        self.fetched.append(wanted)
        data = self.tree.find(wanted)
        if data is None:
            raise NotFoundError(wanted)
        return data


@settings(derandomize=True, deadline=None)
@given(slots, slots)
def test_only_differing_parts_are_fetched(before, after):
    """Fails if the digest of a service covers only its name."""
    known, store = tree_of(before), Store(tree_of(after))
    tree = asyncio.run(fetch_tree(store.fetch, store.tree.digest, known))
    assert tree.configuration == store.tree.configuration
    assert set(store.fetched) == store.tree.digests() - known.digests()
    assert len(store.fetched) == len(set(store.fetched))


def test_change_of_one_service_fetches_three_objects():
    names = {f"service-{n}": 4 for n in range(500)}
    store = Store(tree_of(names | {"service-7": 5}))
    asyncio.run(fetch_tree(store.fetch, store.tree.digest, tree_of(names)))
    assert len(store.fetched) == 3


def test_object_with_another_digest_is_rejected():
    async def wrong(wanted: str) -> bytes:
        return b"{}"

    with pytest.raises(DigestError):
        asyncio.run(fetch_tree(wrong, tree_of({"a": 1}).digest))


def test_services_are_spread_over_the_shards():
    counts = [0] * SHARDS
    for number in range(2_600):
        counts[shard_index(f"service-{number}")] += 1
    assert max(counts) < 3 * 2_600 / SHARDS
