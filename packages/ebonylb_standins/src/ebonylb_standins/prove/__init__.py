"""Checks of the promises on real processes under load, with faults of a seed."""

from .run import RunOptions, Verdict, prove_seed

__all__ = ["RunOptions", "Verdict", "prove_seed"]
