"""Entry point of ``python -m petrelhall``: runs one gateway."""

import sys

from petrelhall.gateway.program import main

if __name__ == "__main__":
    sys.exit(main())
