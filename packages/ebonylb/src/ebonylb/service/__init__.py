"""Composition of the entry VM process.

The package exports nothing; import from its modules. The compositions need different
libraries, and each process should load only its own.
"""
