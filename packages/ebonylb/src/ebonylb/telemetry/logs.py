"""Setup of JSON logs with one event per line; payloads are not logged."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter


def configure_logs(entry_vm: str, level: str) -> None:
    """Send all log records to standard error as JSON lines."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "time", "levelname": "level", "name": "logger"},
            static_fields={"entry_vm": entry_vm},
        )
    )
    logging.basicConfig(level=level.upper(), handlers=[handler], force=True)
    # The transitions library logs each callback of a state change at level INFO.
    logging.getLogger("transitions").setLevel(logging.ERROR)
