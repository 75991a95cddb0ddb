"""Transient errors of the local machine: which operations to retry, and for how long.

That a socket or a file is unavailable for a moment is not the fault of a server, a client or a configuration.
"""

from __future__ import annotations

import asyncio
import errno
from collections.abc import Awaitable, Callable
from typing import TypeVar

T = TypeVar("T")

# The machine has no descriptor, buffer, port or route at present, or a system call was interrupted.
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

RETRY_INTERVAL_SECONDS = 0.02  # from a failure to the next attempt
CONNECT_RETRY_SECONDS = 0.25  # how long connecting is retried; a request can go to other servers
START_RETRY_SECONDS = 5.0  # how long starting is retried; nine in ten restarts must be ready within 10 s
FOLDER_RETRY_INTERVAL_SECONDS = 0.25  # the same for operations on a directory


def is_transient(error: OSError) -> bool:
    """Whether the same operation may succeed in a moment."""
    return error.errno in LOCAL_ERRNOS or error.errno in DISK_ERRNOS


def is_local(error: OSError) -> bool:
    """Whether the error comes from the local machine and tells nothing about the remote side."""
    return error.errno in LOCAL_ERRNOS


async def retry(operation: Callable[[], Awaitable[T]], seconds: float = START_RETRY_SECONDS) -> T:
    """Returns the result of `operation`, which is retried for `seconds` while it fails with transient errors.
    Raises its OSError after that, or at once if it is not transient."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    while True:
        try:
            return await operation()
        except OSError as error:
            if not is_transient(error) or loop.time() >= end:
                raise
        await asyncio.sleep(RETRY_INTERVAL_SECONDS)
