"""Stand-ins for the external systems that cactusvane uses, for tests, benchmarks and the demo."""
