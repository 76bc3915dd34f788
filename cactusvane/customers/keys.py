"""Customers by their keys, as one configuration has them."""

from dataclasses import dataclass, field

from cactusvane.configuration.model import Configuration, Customer


@dataclass(frozen=True, slots=True)
class KeyTable:
    """The keys of one configuration.

    Parameters
    ----------
    required
        Whether requests need a key: the configuration has customers.
    owners
        Customers by key; left out of the representation, since that may be logged.
    """

    required: bool = False
    owners: dict[bytes, Customer] = field(default_factory=dict, repr=False)

    def find(self, key: bytes) -> Customer | None:
        """Return the customer that has this key, or None."""
        return self.owners.get(key)


@dataclass(frozen=True, slots=True)
class KeyChanges:
    """What changed from one key table to the next.

    Parameters
    ----------
    added, removed
        Number of keys that only the next one has, and that only the one before has. A key that
        changes its owner counts as both.
    customers
        Names of the customers that gained or lost a key, sorted.
    """

    added: int
    removed: int
    customers: tuple[str, ...]


def build_key_table(configuration: Configuration) -> KeyTable:
    """Return the key table of a configuration whose customers were checked.

    Examples
    --------
    >>> table = build_key_table(Configuration(customers=(Customer("a", ("k1",)),)))
    >>> table.find(b"k1").name
    'a'
    >>> table
    KeyTable(required=True)
    """
    owners = {
        key.encode("ascii"): customer
        for customer in configuration.customers
        for key in customer.keys
    }
    return KeyTable(bool(configuration.customers), owners)


def compare(before: KeyTable, after: KeyTable) -> KeyChanges:
    """Return what changed from `before` to `after`."""
    added = owners_of_missing(after, before)
    removed = owners_of_missing(before, after)
    return KeyChanges(len(added), len(removed), tuple(sorted({*added, *removed})))


def owners_of_missing(table: KeyTable, other: KeyTable) -> list[str]:
    """Return for each key that `other` lacks, or has for another customer, its owner's name."""
    return [
        customer.name
        for key, customer in table.owners.items()
        if (found := other.find(key)) is None or found.name != customer.name
    ]
