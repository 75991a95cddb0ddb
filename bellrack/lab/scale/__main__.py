"""Entry point of a child process: one size of a sweep, or a measurement of memory."""

import sys

from bellrack.lab.scale.run import run_child_task

if __name__ == "__main__":
    sys.exit(run_child_task())
