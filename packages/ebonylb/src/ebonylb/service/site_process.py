"""Process of an entry VM on the users' platform, from its settings to its end."""

import asyncio
import functools
import os
import sys
import time

import uvloop
from result import Err, Ok, Result

from ..platform.node_settings import read_node_settings
from ..telemetry.bounded_logs import configure_bounded_logs
from .site import run_site
from .site_settings import SiteSettings

SETTINGS_VARIABLE = "EBONYLB_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/ebonylb/node.conf"
EXIT_REFUSED_INPUT = 3
# The platform may be writing the file while the process starts.
SETTINGS_TIMEOUT_S = 2.0
SETTINGS_RETRY_S = 0.05


def end_process() -> None:
    """End the process without the interpreter's own clean-up.

    The service has closed its connections by then. The clean-up waits for the threads
    of the event loop's executor and frees every module, which on a busy machine takes a
    large part of what is left of the grace period after a pause of the process.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)


def wait_for_settings(path: str) -> Result[SiteSettings, str]:
    """Read the settings file, for a while again if it is not there or not valid."""
    deadline_s = time.monotonic() + SETTINGS_TIMEOUT_S
    while True:
        loaded = read_node_settings(path)
        if isinstance(loaded, Ok) or time.monotonic() >= deadline_s:
            return loaded
        time.sleep(SETTINGS_RETRY_S)


def run() -> None:
    """Run the service with the settings file written by the platform."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    loaded = wait_for_settings(path)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        sys.exit(EXIT_REFUSED_INPUT)
    settings = loaded.ok_value
    handler = configure_bounded_logs(settings.name, "info")
    read_again = functools.partial(read_node_settings, path)
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run_site(settings, read_again, handler))
        end_process()
