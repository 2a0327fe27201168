"""Simulations that record histories of concurrent runs, and a checker per promise."""

from .checkers import CHECKERS, Violation, check_all
from .virtual_time import LoopClock, run_virtual

__all__ = ["CHECKERS", "LoopClock", "Violation", "check_all", "run_virtual"]
