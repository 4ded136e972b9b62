"""Starts one control process; nothing else."""

import sys

from petrelhall.replica.program import main

if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
