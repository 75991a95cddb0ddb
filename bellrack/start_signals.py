"""Signal handling outside the life of the event loop: while the process starts and after the loop is closed.

SIGHUP and SIGUSR1 never end the process: a signal that arrives before the loop runs is recorded and carried
out later. The module is imported and installed before any import that takes long. Signals that arrive even
earlier, while the interpreter starts, are ignored by the `run` command of the deploy file: the configuration
is read after that anyway.
"""

from __future__ import annotations

import os
import signal
from typing import Any

HANDLED_SIGNALS = (signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM, signal.SIGINT)

pending: set[int] = set()  # numbers of the signals that have arrived and are not yet carried out


def install() -> None:
    """Install handlers: SIGHUP and SIGUSR1 are recorded, SIGTERM ends the process at once.

    At this point no connection has been accepted, so the process owes nobody an answer."""
    for number in (signal.SIGHUP, signal.SIGUSR1):
        signal.signal(number, record)
    signal.signal(signal.SIGTERM, exit_at_once)


def record(number: int, frame: Any) -> None:
    pending.add(number)


def exit_at_once(number: int, frame: Any) -> None:
    os._exit(0)


def claim(number: int) -> bool:
    """Return whether this signal has been recorded, and clear it: the caller carries it out."""
    arrived = number in pending
    pending.discard(number)
    return arrived


def block() -> None:
    """Block all handled signals until the process exits.

    Closing the event loop restores the default actions, so a signal that arrived afterwards would end the
    process as if it had crashed."""
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
