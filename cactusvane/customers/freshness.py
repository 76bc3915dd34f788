"""The lease under which an entry accepts keys; performs no I/O, the current time is passed in.

An entry accepts a key only while its configuration is known to have been current a short time ago.
`docs/design/revocation.md` says why no delay, loss or pause extends that time. All times are
milliseconds of the clock that also counts while the machine is suspended (`Clock.boot`).
"""

from dataclasses import dataclass

from cactusvane.following.table import TablePosition

MARGIN_SHARE = 0.05
"""Share of `revoke_ms` kept as a margin, for clocks that run at different rates."""

PROVE_SHARE = 0.2
"""Age at which the reader proves currency again, as a share of `revoke_ms`.

Each call to the store has a price; three calls in a row may fail before the lease expires.
"""

TAKEOVER_SHARE = 0.4
"""The same where the latest proof came from another entry.

Entries that get fresh proofs from others so make no calls, also when the store rejects them and
each of them would read.
"""

QUERY_SHARE = 0.08
"""Interval between queries to other entries, as a share of `revoke_ms`."""

RECENT_SHARE = 0.4
"""Age up to which an unknown key is known not to exist, as a share of `revoke_ms`.

A new key must be accepted after the shorter time in which a configuration becomes active. On
healthy VMs a proof is at most a call's and two queries' intervals old, which is less.
"""

MAX_PENDING = 8
"""Maximum number of proofs that wait for the copy; each later position needs only one."""


@dataclass(frozen=True, slots=True)
class FreshnessSettings:
    """Times of the lease, in milliseconds.

    Parameters
    ----------
    revoke_ms
        Time after the removal of a key from which no request with it may run.
    """

    revoke_ms: float

    @property
    def lease_ms(self) -> float:
        """Age of a proof from which it does not count."""
        return self.revoke_ms * (1.0 - MARGIN_SHARE)

    @property
    def recent_ms(self) -> float:
        """Age of a proof up to which unknown keys are rejected for good."""
        return self.revoke_ms * RECENT_SHARE

    @property
    def prove_ms(self) -> float:
        """Age at which the reader proves currency again."""
        return self.revoke_ms * PROVE_SHARE

    @property
    def takeover_ms(self) -> float:
        """Age at which a reader proves currency if the proof came from another entry."""
        return self.revoke_ms * TAKEOVER_SHARE

    @property
    def query_ms(self) -> float:
        """Interval between queries to other entries."""
        return self.revoke_ms * QUERY_SHARE


@dataclass(frozen=True, slots=True)
class Proof:
    """The configuration in the store was at a position at some time not before `since`.

    Parameters
    ----------
    position
        Position of the configuration's row.
    since
        Start of the call that proved it, or a time that is known to be earlier.
    source
        Name of the entry that answered; empty for the store.
    """

    position: TablePosition
    since: float
    source: str = ""


class Lease:
    """What one entry knows of the currency of its configuration.

    Parameters
    ----------
    settings
        Times of the lease.

    Attributes
    ----------
    position
        Position of the latest row that the entry could use; the active configuration is this one
        or a newer one. None before the first.
    proof
        The latest proof that applies to this row.
    pending
        Proofs for later rows, which the entry does not have yet or cannot use.

    Examples
    --------
    >>> lease = Lease(FreshnessSettings(revoke_ms=5_000.0))
    >>> lease.add(Proof(TablePosition(1, 7), since=100.0))
    >>> lease.holds(200.0)
    False
    >>> lease.advance(TablePosition(1, 7))
    >>> lease.holds(200.0), lease.holds(4_850.0)
    (True, False)
    """

    def __init__(self, settings: FreshnessSettings) -> None:
        self.settings = settings
        self.position: TablePosition | None = None
        self.proof: Proof | None = None
        self.pending: tuple[Proof, ...] = ()

    def advance(self, position: TablePosition) -> None:
        """Record the position of a usable row; an earlier one than the latest is ignored."""
        if self.position is not None and position <= self.position:
            return
        self.position = position
        pending, self.pending = self.pending, ()
        for proof in pending:
            self.add(proof)

    def add(self, proof: Proof) -> None:
        """Add a proof, which applies at once or waits until the copy is at its position.

        A proof for an earlier row also applies: the entry's own row was written after that row was
        current, and so was current later.
        """
        if self.position is None or proof.position > self.position:
            self.keep(proof)
        elif self.proof is None or proof.since > self.proof.since:
            self.proof = proof

    def keep(self, proof: Proof) -> None:
        """Keep a proof for later, unless another one for no later row is as recent."""
        if any(
            each.position <= proof.position and each.since >= proof.since for each in self.pending
        ):
            return
        others = (
            each
            for each in self.pending
            if each.position < proof.position or each.since > proof.since
        )
        latest = sorted((proof, *others), key=lambda each: each.since)
        self.pending = tuple(latest[-MAX_PENDING:])

    def age_ms(self, now: float) -> float | None:
        """Return the age of the latest proof that applies; None if there is none."""
        return None if self.proof is None else now - self.proof.since

    def holds(self, now: float) -> bool:
        """Return whether a request that was completely read before `now` may be accepted."""
        return self.is_younger(self.settings.lease_ms, now)

    def is_recent(self, now: float) -> bool:
        """Return whether a key that the configuration lacks is known not to exist."""
        return self.is_younger(self.settings.recent_ms, now)

    def is_younger(self, max_age_ms: float, now: float) -> bool:
        """Return whether the latest proof that applies is younger than an age."""
        age_ms = self.age_ms(now)
        return age_ms is not None and age_ms < max_age_ms
