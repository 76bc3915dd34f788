"""Choice of a target for each request, from loads and evidence shared inside a failure domain."""
