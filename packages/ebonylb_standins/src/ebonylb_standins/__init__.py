"""Stand-ins for outside systems, used by tests and the demo only."""
