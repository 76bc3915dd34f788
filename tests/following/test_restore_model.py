"""Copies of one table that follow a store through restores, over random interleavings."""

from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import pytest

from cactusvane.following.table import TableCopy, TableRow, TableRows

KEYS = "abcd"
COPIES = 4
STEPS = 120
SETTLING_ROUNDS = 4


@dataclass
class ModelStore:
    """A store that gives out versions from one counter, and goes back with it."""

    era: int = 1
    version: int = 1
    rows: dict[str, TableRow] = field(default_factory=dict)
    changes: list[TableRow] = field(default_factory=list)

    def write(self, key: str, value: bytes | None) -> None:
        self.version += 1
        row = TableRow(key, value, self.version)
        self.changes.append(row)
        self.rows[key] = row

    def restore(self, version: int) -> None:
        self.changes = [row for row in self.changes if row.version <= version]
        self.rows = {row.key: row for row in self.changes}
        self.version = version
        self.era += 1

    def values(self) -> dict[str, bytes]:
        return {key: row.value for key, row in self.rows.items() if row.value is not None}

    def read_whole(self) -> TableRows:
        rows = tuple(row for row in self.rows.values() if row.value is not None)
        return TableRows(self.version, rows, whole=True, era=self.era)

    def read_changes(self, after: int) -> TableRows | None:
        """Return the changes after a version; None if the store does not have it."""
        if after > self.version:
            return None
        rows = tuple(row for row in self.rows.values() if row.version > after)
        return TableRows(self.version, rows, whole=False, era=self.era, after=after)


@dataclass
class ModelEntry:
    """A copy, and whether the next read of the store is of the whole table."""

    copy: TableCopy = field(default_factory=TableCopy)
    needs_whole: bool = True

    def read(self, store: ModelStore) -> Callable[[], None]:
        """Read from the store, and return what applies the response."""
        read = store.read_whole() if self.needs_whole else store.read_changes(self.copy.version)
        return lambda: self.receive(read)

    def receive(self, read: TableRows | None) -> None:
        """Apply a response of the store."""
        if read is None or not self.copy.accepts(read):
            self.needs_whole = True
            return
        self.needs_whole = False
        self.copy.apply(read)

    def pull(self, other: "ModelEntry") -> Callable[[], None]:
        """Read from another entry, and return what applies the response."""
        if other.copy.last_change <= self.copy.position:
            return lambda: None
        read = other.copy.changes_since(self.copy.last_change)
        return lambda: self.copy.apply(read) and None


@dataclass
class Model:
    """A store, its readers, entries that only hear others, and responses on their way."""

    random: Random
    store: ModelStore = field(default_factory=ModelStore)
    entries: list[ModelEntry] = field(default_factory=lambda: [ModelEntry() for _ in range(COPIES)])
    responses: list[Callable[[], None]] = field(default_factory=list)

    def __post_init__(self) -> None:
        for entry in self.entries:
            entry.read(self.store)()

    def step(self) -> None:
        """Perform one random step; responses may arrive late and out of order."""
        random, store = self.random, self.store
        match random.choices(range(5), (4, 1, 6, 6, 10))[0]:
            case 0:
                value = random.choice([None, bytes([random.randrange(3)])])
                store.write(random.choice(KEYS), value)
            case 1 if random.random() < 0.3:
                store.restore(random.randint(max(1, store.version - 6), store.version))
            case 2:
                self.responses.append(random.choice(self.entries[:2]).read(store))
            case 3:
                one, other = random.sample(self.entries, 2)
                self.responses.append(one.pull(other))
            case 4 if self.responses:
                self.responses.pop(random.randrange(len(self.responses)))()

    def settle(self) -> None:
        """Deliver all responses, and let the first entry read and the others pull."""
        for apply in self.responses:
            apply()
        for _ in range(SETTLING_ROUNDS):
            self.entries[0].read(self.store)()
            for one in self.entries[1:]:
                latest = max(self.entries, key=lambda each: each.copy.last_change)
                one.pull(latest)()


@pytest.mark.parametrize("part", range(8))
def test_all_copies_become_equal_to_a_store_that_went_back(part: int) -> None:
    for seed in range(part * 250, (part + 1) * 250):
        model = Model(Random(seed))
        for _ in range(STEPS):
            model.step()
        model.settle()
        for entry in model.entries:
            assert entry.copy.values() == model.store.values(), f"seed {seed}"
