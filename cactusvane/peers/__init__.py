"""Messages between the VMs of a fleet, over gRPC."""

import os

# Without this, gRPC writes its own log lines to standard error between the JSON lines.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
