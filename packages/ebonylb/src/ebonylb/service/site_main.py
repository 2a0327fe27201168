"""Main program of an entry VM on the users' platform.

Started as ``python -m ebonylb.service.site_main``. It is separate from the command line
interface, whose libraries would increase the memory of each process by a fifth.
"""

import functools
import os
import sys

import uvloop
from result import Err

from ..platform.node_settings import read_node_settings
from ..telemetry.bounded_logs import configure_bounded_logs
from .site import run_site

SETTINGS_VARIABLE = "EBONYLB_NODE_FILE"
DEFAULT_SETTINGS_PATH = "/etc/ebonylb/node.conf"
EXIT_REFUSED_INPUT = 3


def main() -> None:
    """Run the service with the settings file written by the platform."""
    path = os.environ.get(SETTINGS_VARIABLE, DEFAULT_SETTINGS_PATH)
    loaded = read_node_settings(path)
    if isinstance(loaded, Err):
        print(loaded.err_value, file=sys.stderr)
        sys.exit(EXIT_REFUSED_INPUT)
    settings = loaded.ok_value
    handler = configure_bounded_logs(settings.name, "info")
    read_again = functools.partial(read_node_settings, path)
    uvloop.run(run_site(settings, read_again, handler))


if __name__ == "__main__":
    main()
