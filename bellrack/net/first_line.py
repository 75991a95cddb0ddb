"""How long a connection may be without a whole first line.

An end is owed within 3 s to a client that stops in the middle of a request (STANDING.md, "What production
adds"). A resumed connection may be slower to write (DEPLOY.md, "Limits"), but only before the run, and only
bytes that can still become its line are waited for. Pure: no clock and no I/O.
"""

from __future__ import annotations

import re

NAME, VALUE = rb"[!-+\--<>-~\x80-\xff]", rb"[!-+\--~\x80-\xff]"  # the bytes of a name and of its value
PAIRS = rb"(?:%b+=%b*,)*(?:%b+(?:=%b*\r?)?)?" % (NAME, VALUE, NAME, VALUE)
# PROTOCOL.md, "Clients to balancers": `OPEN`, an id, a key, names and values.
PART_OF_LINE = re.compile(rb"OPEN (?:[!-~]+(?: (?:[0-9A-Fa-f]{1,16}(?: (?:%b))?)?)?)?" % PAIRS)
WORD = b"OPEN "


def may_become_resumed(data: bytes) -> bool:
    """Can these bytes, a line without its end, still become the line of a resumed connection? None can."""
    return WORD.startswith(data) or PART_OF_LINE.fullmatch(data) is not None


def should_wait(data: bytes, may_precede_run: bool) -> bool:
    """Is a connection whose time for a first line is over waited for? `data`: what it has sent of the line;
    `may_precede_run`: for all that the process knows, resumed connections may still be on their way."""
    return may_precede_run and may_become_resumed(data)
