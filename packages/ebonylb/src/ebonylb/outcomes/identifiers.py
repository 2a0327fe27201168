"""Random identifiers.

They are taken from the operating system's random generator, so that no identifier is
repeated on two VMs or on one VM before and after a restart.
"""

import secrets


def new_request_id() -> str:
    """Return a new identifier for a request without one."""
    return "r-" + secrets.token_hex(8)


def new_token() -> str:
    """Return a new 128-bit token in hexadecimal, for incarnations and write ids."""
    return secrets.token_hex(16)
