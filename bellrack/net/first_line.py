"""How long a connection may be without a whole first line.

A client that stops in the middle of a request must be answered within 3 s (STANDING.md, "What production
adds"). A resumed connection may take longer to write its line (DEPLOY.md, "Limits"), but only before the run
(the ordinary traffic) and only if the bytes so far can still become such a line. No clock and no I/O.
"""

from __future__ import annotations

import re

NAME, VALUE = rb"[!-+\--<>-~\x80-\xff]", rb"[!-+\--~\x80-\xff]"  # one byte of a name and of its value
PAIRS = rb"(?:%b+=%b*,)*(?:%b+(?:=%b*\r?)?)?" % (NAME, VALUE, NAME, VALUE)
# Any beginning of a request line (PROTOCOL.md, "Clients to balancers"): `OPEN`, id, key, names and values.
PARTIAL_LINE = re.compile(rb"OPEN (?:[!-~]+(?: (?:[0-9A-Fa-f]{1,16}(?: (?:%b))?)?)?)?" % PAIRS)
VERB = b"OPEN "


def may_become_resumed(data: bytes) -> bool:
    """Whether these bytes, a line without its end, can still become the line of a resumed connection. An
    empty line can."""
    return VERB.startswith(data) or PARTIAL_LINE.fullmatch(data) is not None


def should_wait(data: bytes, may_precede_run: bool) -> bool:
    """Whether to keep waiting for a connection whose time for a first line is over. `data`: what it has sent
    of the line. `may_precede_run`: resumed connections may still be coming, as far as the process knows."""
    return may_precede_run and may_become_resumed(data)
