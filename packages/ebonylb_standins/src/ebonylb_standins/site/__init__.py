"""Stand-ins for the users' platform: store, backend servers and callers."""
