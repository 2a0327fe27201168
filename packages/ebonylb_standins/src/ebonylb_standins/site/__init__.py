"""Stand-ins of the users' platform: its store, its backend servers, its callers."""
