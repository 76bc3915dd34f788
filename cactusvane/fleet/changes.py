"""Log events for the changes between two lists of targets."""

from cactusvane import events
from cactusvane.events import Event
from cactusvane.fleet.vm import Vm


def log_changes(before: tuple[Vm, ...], after: tuple[Vm, ...]) -> None:
    """Log each target that was added, changed its state or address, or was removed."""
    known = {vm.name: vm for vm in before}
    for vm in after:
        last = known.pop(vm.name, None)
        if last is None or last.state is not vm.state or last.address != vm.address:
            events.write(
                Event.TARGET_LISTED,
                service=vm.service,
                target=vm.name,
                address=str(vm.address),
                state=vm.state.value,
            )
    for vm in known.values():
        address = str(vm.address)
        events.write(Event.TARGET_UNLISTED, service=vm.service, target=vm.name, address=address)
