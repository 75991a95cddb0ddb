"""A process of a sweep or a weighing."""

import sys

from bellrack.lab.scale.run import run_child_task

if __name__ == "__main__":
    sys.exit(run_child_task())
