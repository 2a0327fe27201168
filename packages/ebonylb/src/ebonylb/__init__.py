"""Rollout service for reinforcement learning: the entry VM process."""
