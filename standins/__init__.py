"""Stand-ins for the systems outside cactusvane, for tests, benches and the demo."""
