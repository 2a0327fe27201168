"""Measures the costs that ``docs/capacity/own-protocol.md`` extrapolates to the target site."""
