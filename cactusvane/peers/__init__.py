"""Messages between the VMs of a fleet, over gRPC."""

import os

# The library writes its own log between the JSON lines on standard error unless told not to.
os.environ.setdefault("GRPC_VERBOSITY", "NONE")
