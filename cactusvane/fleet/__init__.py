"""The VMs of the fleet: membership, cells and the assignment of keepers."""
