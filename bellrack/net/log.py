"""Log lines and counters.

Each event is one line of key=value pairs, written through the logging module. Counters count what was
received, sent and answered, by name. Nothing here grows with the traffic.
"""

from __future__ import annotations

import logging
import sys
from collections import Counter

logger = logging.getLogger("bellrack")


class KeyValueFormatter(logging.Formatter):
    """Formats a record as time=... level=... event=... and the event's fields."""

    def format(self, record: logging.LogRecord) -> str:
        """The line, with `error` and `at` (file and line number) for a record with an exception."""
        pairs = {"time": f"{record.created:.3f}", "level": record.levelname.lower()}
        pairs["event"] = record.getMessage()
        pairs |= getattr(record, "fields", {})
        if record.exc_info and record.exc_info[1]:
            pairs["error"] = repr(record.exc_info[1])
            traceback = record.exc_info[2]
            while traceback and traceback.tb_next:
                traceback = traceback.tb_next
            if traceback:
                pairs["at"] = (
                    f"{traceback.tb_frame.f_code.co_filename.rpartition('/')[2]}:{traceback.tb_lineno}"
                )
        return " ".join(f"{key}={quote_value(value)}" for key, value in pairs.items())


def quote_value(value: object) -> str:
    """A value as text, quoted and escaped if it contains spaces, quotes, `=` or unprintable characters."""
    text = f"{value:.3f}" if isinstance(value, float) else str(value)
    if text and not any(c in ' "=\\' or not c.isprintable() for c in text):
        return text
    text = "".join(c if c.isprintable() else f"\\x{ord(c):02x}" for c in text.replace("\\", "\\\\"))
    return '"' + text.replace('"', '\\"') + '"'


def configure() -> None:
    """Sends the log of the program and of asyncio to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(KeyValueFormatter())
    logger.addHandler(handler)
    logger.setLevel(logging.INFO)
    logger.propagate = False
    logging.raiseExceptions = False  # a closed standard error must not end the program
    logging.getLogger("asyncio").addHandler(handler)


def event(event: str, **fields: object) -> None:
    """Logs an event with its fields."""
    logger.info(event, extra={"fields": fields})


def exception(event: str, **fields: object) -> None:
    """Logs an event and the exception being handled, on one line. Only within an except clause."""
    logger.error(event, exc_info=True, extra={"fields": fields})


class Counters(Counter):
    """Numbers of what was received, sent and answered, by counter name."""
