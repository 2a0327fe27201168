"""Measures the costs that ``docs/CAPACITY.md`` extrapolates to the target site."""
