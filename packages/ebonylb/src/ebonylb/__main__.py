"""Entry point of ``python -m ebonylb``."""

from .cli import main

main()
