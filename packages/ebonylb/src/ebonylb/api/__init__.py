"""HTTP interface for callers, trainers, operators and the platform's balancer."""
