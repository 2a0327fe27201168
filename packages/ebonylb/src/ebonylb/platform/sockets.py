"""Sockets that detect an unresponsive peer."""

import socket

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Closes a connection whose sent bytes are not acknowledged in this time. A machine
# without power sends no reset, and the kernel's default limit is minutes. Where it is
# set, Linux ignores the number of probes: an idle connection ends at the first probe
# time after this timeout, so that it must last for all probes.
USER_TIMEOUT_MS = 1_000 * (KEEPALIVE_IDLE_S + KEEPALIVE_INTERVAL_S * KEEPALIVE_PROBES)


def create_keepalive_socket(address_info: tuple) -> socket.socket:
    """Return a socket for an outgoing connection that detects an unresponsive peer.

    Parameters
    ----------
    address_info : tuple
        Family, type, protocol, canonical name and address, as `aiohttp` passes them.
    """
    family, socket_type, protocol, _, _ = address_info
    new_socket = socket.socket(family, socket_type, protocol)
    new_socket.setblocking(False)
    new_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    new_socket.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        new_socket.setsockopt(socket.IPPROTO_TCP, option, value)
    return new_socket
