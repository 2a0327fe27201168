"""Entry point of ``python -m ebonyctl``."""

import sys

from .cli import main

sys.exit(main())
