"""Log lines and counters.

Owns the form of what the program tells of itself: one line an event, as key=value pairs, through the logging
module, and the counters of what was taken in, sent and answered. It never decides, and keeps nothing that
grows with traffic.
"""

from __future__ import annotations

import logging
import sys
from collections import Counter

logger = logging.getLogger("bellrack")


class KeyValueFormatter(logging.Formatter):
    """time=... level=... event=... and the event's fields."""

    def format(self, record: logging.LogRecord) -> str:
        pairs = {"time": f"{record.created:.3f}", "level": record.levelname.lower()}
        pairs["event"] = record.getMessage()
        pairs |= getattr(record, "fields", {})
        if record.exc_info and record.exc_info[1]:
            pairs["error"] = repr(record.exc_info[1])
            last = record.exc_info[2]
            while last and last.tb_next:
                last = last.tb_next
            if last:
                pairs["at"] = f"{last.tb_frame.f_code.co_filename.rpartition('/')[2]}:{last.tb_lineno}"
        return " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())


def quote_value(value: object) -> str:
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and not any(c in ' "=\\' or not c.isprintable() for c in text):
        return text
    text = "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in text.replace("\\", "\\\\"))
    return '"' + text.replace('"', '\\"') + '"'


def configure() -> None:
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logging.raiseExceptions = False  # a log that nobody takes any more must not end the program
    logging.getLogger("asyncio").addHandler(handler)


def event(event: str, **fields: object) -> None:
    logger.info(event, extra={"fields": fields})


def exception(event: str, **fields: object) -> None:
    """Within an except clause: what failed and where, on one line."""
    logger.error(event, exc_info=True, extra={"fields": fields})


class Counters(Counter):
    """What was taken in, sent and answered, by name."""
