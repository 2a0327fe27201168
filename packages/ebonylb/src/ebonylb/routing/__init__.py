"""Routing of requests from entry VMs to shard owners and backend servers."""

from .work import CallWork, Chunk, Executor, GenerateWork, Work

__all__ = ["CallWork", "Chunk", "Executor", "GenerateWork", "Work"]
