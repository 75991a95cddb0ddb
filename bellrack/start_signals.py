"""Signals that reach a process before its loop runs, or after it: none of an operator's ends the process, and
a reload that comes before is owed.

Imported and installed before anything that takes long to import. What comes sooner, while the interpreter
starts, is ignored by `run` of the deploy file: the configuration is read after that.
"""

from __future__ import annotations

import os
import signal
from typing import Any

HEEDED = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT)

noted: set[int] = set()  # numbers of the signals that have come and are not carried out yet


def install() -> None:
    """SIGHUP and SIGUSR1 are noted; SIGTERM ends the process: nobody has come in yet, so nothing is owed."""
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, note)
    signal.signal(signal.SIGTERM, end)


def note(number: int, frame: Any) -> None:
    noted.add(number)


def end(number: int, frame: Any) -> None:
    os._exit(0)


def claim(number: int) -> bool:
    """Has this one come? It is carried out now."""
    came = number in noted
    noted.discard(number)
    return came


def block() -> None:
    """The process ends: a further signal is not delivered any more. Closing the loop puts the default actions
    back, and those would end the process as if it had crashed."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HEEDED)
