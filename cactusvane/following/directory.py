"""Interface of the directory in which the entries of a failure domain find each other."""

from typing import Protocol

from cactusvane.fleet.vm import Vm


class EntryDirectory(Protocol):
    """A list of entries that is stored outside their processes."""

    async def register(self, own: Vm) -> tuple[Vm, ...]:
        """Register an entry in its failure domain and return all entries registered there.

        Parameters
        ----------
        own
            The entry to register.

        Returns
        -------
        tuple of Vm
            The registered entries of the failure domain, `own` among them.

        Raises
        ------
        PlatformError
            The platform did not respond; the entry may be registered nevertheless.
        """

    async def registered(self, failure_domain: str) -> tuple[Vm, ...]:
        """Return the entries that are registered in a failure domain.

        Raises
        ------
        PlatformError
            The platform did not respond.
        """

    async def renew(self, own: Vm) -> tuple[Vm, ...]:
        """Register an entry again if its registration is lost; return all registered entries.

        Parameters
        ----------
        own
            The entry.

        Raises
        ------
        PlatformError
            The platform did not respond; the entry may be registered nevertheless.
        """
