"""Where the entries of a failure domain find each other when they start."""

from typing import Protocol

from cactusvane.fleet.vm import Vm


class EntryDirectory(Protocol):
    """A list of entries that outlives their processes."""

    async def register(self, own: Vm) -> tuple[Vm, ...]:
        """Put this VM on the list of its failure domain and return the list.

        Raises
        ------
        PlatformError
            The platform did not answer; the VM may be on the list all the same.
        """
