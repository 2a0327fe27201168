"""Measures the costs that the page on the own protocol's capacity extrapolates.

That page is ``docs/capacity/own-protocol.md``.
"""
