"""HTTP server and client, both built on h11."""
