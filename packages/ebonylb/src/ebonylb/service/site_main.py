"""Main program of an entry VM on the users' platform.

Started as ``python -m ebonylb.service.site_main``. It is separate from the command line
interface, whose libraries would increase the memory of each process by a fifth.
"""

import signal


def main() -> None:
    """Run the service with the settings file written by the platform."""
    # The platform signals that it has changed the settings, also to a process that is
    # starting, which this would end by default. Imports take most of a start, so that
    # they come after this. Changes until the handler is set are found by the periodic
    # check of the file.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from .site_process import run

    run()


if __name__ == "__main__":
    main()
