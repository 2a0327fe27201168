"""Composition of the entry VM process.

Import from its modules: the compositions need different libraries, and each process
should load its own only.
"""
