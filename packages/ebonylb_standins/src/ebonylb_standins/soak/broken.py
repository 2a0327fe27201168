"""Program of a broken variant of the entry VM process, which the soak must detect.

Started as ``python -m ebonylb_standins.soak.broken VARIANT...``.
"""

import signal
import sys


def main() -> None:
    """Run an entry VM process with the variants that the arguments name."""
    # As in the program of the product, before the imports that take most of a start.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    from ebonylb.service.site_process import run

    from .variants import VARIANTS

    for variant in sys.argv[1:]:
        VARIANTS[variant]()
    run()


if __name__ == "__main__":
    main()
