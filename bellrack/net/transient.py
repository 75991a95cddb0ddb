"""Errors of the machine that pass: what to try again, and for how long.

A socket or a file that cannot be had for a moment says nothing of a server, a client or a configuration.
Times are seconds.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

Made = TypeVar("Made")

# The machine has no descriptor, buffer, port or route at present, or a call was interrupted.
LOCAL_ERRNOS = frozenset(
    (
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.ENETUNREACH,
        errno.ECONNABORTED,
    )
)
DISK_ERRNOS = frozenset((errno.EIO, errno.ENOSPC, errno.EDQUOT))

RETRY_INTERVAL_SECONDS = 0.02  # from a failure to the next try
CONNECT_RETRY_SECONDS = 0.25  # for which a connection is tried again: a request has other servers to go to
START_RETRY_SECONDS = 5.0  # for which a start is: nine in ten restarted balancers are ready within 10 s
FOLDER_RETRY_INTERVAL_SECONDS = 0.25  # from a failure of a folder to the next try


def is_transient(error: OSError) -> bool:
    """May the same call succeed in a moment?"""
    return error.errno in LOCAL_ERRNOS or error.errno in DISK_ERRNOS


def is_local(error: OSError) -> bool:
    """Is it our machine's, and no word of the other side?"""
    return error.errno in LOCAL_ERRNOS


async def retry(make: Callable[[], Awaitable[Made]], seconds: float = START_RETRY_SECONDS) -> Made:
    """What `make` returns, tried again while it fails for what passes. Raises its OSError after that time."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while True:
        try:
            return await make()
        except OSError as error:
            if not is_transient(error) or loop.time() >= end:
                raise
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
