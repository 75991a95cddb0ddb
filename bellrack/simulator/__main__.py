"""`python -m bellrack.simulator`: runs the decisions on batches from standard input."""

import sys

from bellrack.simulator.adapter import Adapter
from bellrack.simulator.wire import WireError, read_batch


def main() -> int:
    """Answers each batch with one reply until the input ends. Returns 1 after a malformed frame, else 0."""
    adapter = Adapter()
    source, sink = sys.stdin.buffer, sys.stdout.buffer
    try:
        while (batch := read_batch(source)) is not None:
            sink.write(adapter.answer(batch).encode())
            sink.flush()
    except WireError as error:
        print(f"bellrack: {error}", file=sys.stderr)
        return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
