"""Randomized soak: real entry VM processes under faults injected from outside."""
