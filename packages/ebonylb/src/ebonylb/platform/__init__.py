"""The users' platform: their wire, translated into the project's types.

Only this folder knows the platform's paths, headers, JSON names and settings keys.
Only the composition in `service` imports it.
"""
