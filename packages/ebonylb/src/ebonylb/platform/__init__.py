"""Adapters to the users' platform, which convert its wire format to internal types.

Only this package contains the platform's paths, headers, JSON names and settings
keys, and only the composition in `service` imports it.
"""
