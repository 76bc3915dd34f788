"""Messages between VMs over gRPC."""
