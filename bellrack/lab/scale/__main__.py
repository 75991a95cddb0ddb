"""A process of a sweep or a weighing."""

import sys

from bellrack.lab.scale.run import answer

if __name__ == "__main__":
    sys.exit(answer())
