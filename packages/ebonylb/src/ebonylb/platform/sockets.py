"""Sockets that notice a silent peer."""

import socket

# Unacknowledged bytes end a connection after this time. A machine without power sends
# no reset, and the kernel's own limit is minutes.
USER_TIMEOUT_MS = 2_000
KEEPALIVE_IDLE_S = 2
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


def silence_aware_socket(address_info: tuple) -> socket.socket:
    """Create a socket for an outgoing connection.

    Parameters
    ----------
    address_info : tuple
        Family, type, protocol, canonical name and address, as `aiohttp` passes them.
    """
    family, kind, protocol, _, _ = address_info
    created = socket.socket(family, kind, protocol)
    created.setblocking(False)
    created.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        created.setsockopt(socket.IPPROTO_TCP, option, value)
    return created
