"""Starts one gateway; nothing else."""

import sys

from petrelhall.gateway.program import main

if __name__ == "__main__":
    sys.exit(main())
