"""The VMs of the fleet: membership, cells and keepers."""
