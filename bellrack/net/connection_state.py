"""The states of a TCP connection, and the one table of transitions between them. Pure: no I/O.

A connection is known before it can be acted on: to the decisions and to timers from the moment at which a hot
restart has handed it to this process, and to its request from the moment at which it starts to connect. What
is ordered before it has a transport is kept (`PENDING`, `CLOSE_PENDING`) and carried out on the transport.
"""

from __future__ import annotations

from enum import Enum


class State(Enum):
    """The state of a connection. The values stand in the log."""

    PENDING = "pending"  # it has no transport yet
    OPEN = "open"
    CLOSE_PENDING = "close-pending"  # closed by this process while it had no transport
    CLOSING = "closing"  # closed by this process; waits for the remote end
    LOST = "lost"  # its transport has ended or will never be there; not handled yet
    CLOSED = "closed"  # nothing is left to be done
    RELEASED = "released"  # handed to the other process of a hot restart

    @property
    def closed(self) -> bool:
        """Whether this process acts on the connection no more, but for what it has been ordered already."""
        return self in (State.CLOSE_PENDING, State.CLOSING, State.CLOSED, State.RELEASED)


class Event(Enum):
    """What happens to a connection."""

    ATTACH = "attach"  # it gets its transport
    CLOSE = "close"  # this process closes it
    RELEASE = "release"  # the other process of a hot restart has received it
    LOSE = "lose"  # its transport has ended, or it will get none


class TransitionError(Exception):
    """An event that cannot happen in this state."""


TRANSITIONS = {
    (State.PENDING, Event.ATTACH): State.OPEN,
    (State.PENDING, Event.CLOSE): State.CLOSE_PENDING,
    (State.PENDING, Event.LOSE): State.LOST,
    (State.OPEN, Event.CLOSE): State.CLOSING,
    (State.OPEN, Event.RELEASE): State.RELEASED,
    (State.OPEN, Event.LOSE): State.LOST,
    (State.CLOSE_PENDING, Event.ATTACH): State.CLOSING,
    (State.CLOSE_PENDING, Event.LOSE): State.CLOSED,
    (State.CLOSING, Event.LOSE): State.CLOSED,
    (State.LOST, Event.CLOSE): State.CLOSED,
    (State.RELEASED, Event.LOSE): State.RELEASED,
    # asyncio attaches a transport to a connection whose connecting was cancelled at the last moment.
    (State.LOST, Event.ATTACH): State.LOST,
    (State.LOST, Event.LOSE): State.LOST,
    (State.CLOSED, Event.ATTACH): State.CLOSED,
    (State.CLOSED, Event.LOSE): State.CLOSED,
}


def next_state(state: State, event: Event) -> State:
    """Return the state after the event. Raises TransitionError."""
    try:
        return TRANSITIONS[state, event]
    except KeyError:
        raise TransitionError(f"{event.value} in the state {state.value}") from None
