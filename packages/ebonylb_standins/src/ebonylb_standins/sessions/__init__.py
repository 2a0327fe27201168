"""End-to-end sessions on real processes, whose transcripts match golden files."""

from .catalogue import SESSIONS, SessionPlan, run_session

__all__ = ["SESSIONS", "SessionPlan", "run_session"]
