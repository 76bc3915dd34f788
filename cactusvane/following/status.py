"""How the platform's tables respond to a VM, as it tells the others of its failure domain.

Performs no I/O.
"""

from collections.abc import Mapping

from cactusvane.following.follower import TableFollower
from cactusvane.following.readers import ReaderCandidate
from cactusvane.placement.messages import StoreStatus


def store_status(
    followers: Mapping[str, TableFollower],
    now: float,
    stopping: bool,
    configuration_version: int,
    proof_age_ms: float | None,
) -> StoreStatus:
    """Return how the platform's tables respond to a VM.

    Parameters
    ----------
    followers
        Followers of the tables by the tables' names.
    now
        Time of the clock in milliseconds.
    stopping
        Whether the VM is stopping.
    configuration_version
        Version of the active configuration; 0 without any.
    proof_age_ms
        Age of the proof that the configuration is current, in milliseconds; None without any.
    """
    failing = any(follower.failing for follower in followers.values())
    response_times = [follower.last_response_at for follower in followers.values()]
    known = [at for at in response_times if at is not None]
    failures = [
        follower.last_failure_at
        for follower in followers.values()
        if follower.last_failure_at is not None
    ]
    return StoreStatus(
        can_read=not failing and not stopping,
        response_age_ms=now - min(known) if len(known) == len(response_times) else None,
        failure_age_ms=now - max(failures) if failures else None,
        table_versions={
            name: follower.copy.last_change_version for name, follower in followers.items()
        },
        table_eras={
            name: follower.copy.era for name, follower in followers.items() if follower.copy.era
        },
        configuration_version=configuration_version,
        proof_age_ms=proof_age_ms,
    )


def reader_candidate(vm: str, status: StoreStatus, received_ago_ms: float) -> ReaderCandidate:
    """Return another entry as a candidate, from the status received `received_ago_ms` ago."""
    age = status.response_age_ms
    return ReaderCandidate(vm, None if age is None else age + received_ago_ms, status.can_read)
