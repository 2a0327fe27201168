"""Kernel counters of the TCP bytes and segments that this process transferred."""

import os
import socket
import struct
from dataclasses import dataclass
from pathlib import Path

TCP_IP_HEADER_BYTES = 52  # IPv4 and TCP headers with timestamps
BYTE_COUNTERS_OFFSET, SEGMENT_COUNTERS_OFFSET = 120, 136  # in `struct tcp_info`


@dataclass(frozen=True, slots=True)
class Traffic:
    """Totals of all open connections; bytes exclude TCP and IP headers."""

    sent_bytes: int = 0
    received_bytes: int = 0
    sent_segments: int = 0
    received_segments: int = 0

    def minus(self, earlier: "Traffic") -> "Traffic":
        """Return the difference to an earlier reading."""
        return Traffic(
            self.sent_bytes - earlier.sent_bytes,
            self.received_bytes - earlier.received_bytes,
            self.sent_segments - earlier.sent_segments,
            self.received_segments - earlier.received_segments,
        )


def read_traffic() -> Traffic:
    """Return the sum of `TCP_INFO` over all TCP sockets of this process."""
    totals = [0, 0, 0, 0]
    for descriptor in Path("/proc/self/fd").iterdir():
        try:
            if not os.readlink(descriptor).startswith("socket:"):
                continue
            with socket.socket(fileno=os.dup(int(descriptor.name))) as connection:
                info = connection.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 256)
        except OSError:
            continue  # closed in the meantime, or not a TCP socket
        if len(info) < SEGMENT_COUNTERS_OFFSET + 8:
            continue
        counters = (
            *struct.unpack_from("=QQ", info, BYTE_COUNTERS_OFFSET),
            *struct.unpack_from("=II", info, SEGMENT_COUNTERS_OFFSET),
        )
        totals = [
            total + counter for total, counter in zip(totals, counters, strict=True)
        ]
    return Traffic(*totals)
