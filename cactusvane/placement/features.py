"""Features of a request that its expected work depends on.

The features travel between entries in each observation, so they are packed into 32 bits: hashes of
the method with the path and of the customer, and the class of the body size. Two paths or customers
with the same hash share their estimates; that makes an estimate less exact and nothing else.
"""

from dataclasses import dataclass

from cactusvane.placement.groups import hash_name

HASH_BITS = 14
"""Bits of each hash; 79 customers have 0.2 pairs with the same hash on average."""

SIZE_BITS = 4

HASH_MASK = (1 << HASH_BITS) - 1
MAX_SIZE_CLASS = (1 << SIZE_BITS) - 1
CUSTOMER_SHIFT = HASH_BITS + SIZE_BITS


@dataclass(frozen=True, slots=True)
class RequestFeatures:
    """Features of one request, except for its customer.

    Parameters
    ----------
    method
        HTTP method in upper case.
    segment
        First segment of the path below the prefix of the route; empty if there is none.
    size_class
        Class of the body size.
    """

    method: str
    segment: str
    size_class: int


def features_of(method: str, path: str, prefix: str, size: int) -> RequestFeatures:
    """Return the features of a request.

    Parameters
    ----------
    method
        HTTP method in upper case.
    path
        Its path, without the query.
    prefix
        Path prefix of its route.
    size
        Size of its body in bytes.

    Examples
    --------
    >>> features_of("GET", "/records/reports/7", "/records", 0)
    RequestFeatures(method='GET', segment='reports', size_class=0)
    """
    below = path[len(prefix) :].lstrip("/")
    return RequestFeatures(method, below.partition("/")[0], size_class(size))


def size_class(size: int) -> int:
    """Return the class of a body size in bytes; each class covers a factor of four.

    Examples
    --------
    >>> [size_class(size) for size in (0, 1, 3, 4, 15, 16, 1_000_000, 10**12)]
    [0, 1, 1, 2, 2, 3, 10, 15]
    """
    return min(MAX_SIZE_CLASS, (size.bit_length() + 1) // 2)


def pack(features: RequestFeatures | None, customer: str) -> int:
    """Return the features and the customer in 32 bits; 0 without features."""
    if features is None:
        return 0
    path = hash_part(f"{features.method} {features.segment}")
    owner = hash_part(customer) if customer else 0
    return owner << CUSTOMER_SHIFT | features.size_class << HASH_BITS | path


def hash_part(text: str) -> int:
    """Return a hash of `HASH_BITS` bits that is not 0 and the same on all VMs."""
    return hash_name(text) % HASH_MASK + 1


def path_of(packed: int) -> int:
    """Return the hash of method and path."""
    return packed & HASH_MASK


def path_and_size_of(packed: int) -> int:
    """Return the hash of method and path together with the size class."""
    return packed & ((1 << CUSTOMER_SHIFT) - 1)


def customer_of(packed: int) -> int:
    """Return the hash of the customer; 0 if there is none."""
    return packed >> CUSTOMER_SHIFT
