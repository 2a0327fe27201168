"""Entry VM that also serves parties without a share.

Run as ``python -m changed_entry_vm serve --settings FILE``.
"""

from ebonylb.cli import main
from ebonylb.routing.share_check import ShareCheck

ShareCheck.refusal = lambda *_: None

if __name__ == "__main__":
    main()
