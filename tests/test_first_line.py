"""A connection that stops before its first line is whole must be answered within 3 s, unless its bytes may
still become the line of a resumed connection and the run may not have begun (docs/network.md, "Resumed
connections")."""

import pytest
from helpers import World, async_test
from hypothesis import given
from hypothesis import strategies as st
from test_resumed import AT

from bellrack.net import clients, first_line, limits, lines, shutdown

LINE = f"OPEN 00000000000000ff 7f3a9c21e0b4d655 {AT}\r\n".encode()
MAY_RESUME = (
    b"",
    b"O",
    b"OPEN ",
    b"OPEN 00000000000000ff",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat,t=ac",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat,at",
    LINE[:-1],
)
CANNOT_RESUME = (
    b"GET / HT",
    b"P",
    b"PING",
    b"open ",
    b"OPENS",
    b"OPEN  00000000000000ff",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d65z",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d6551 ",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 =chat",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat,,",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat t=acme",
    b"OPEN 00000000000000ff 7f3a9c21e0b4d655 c=chat\rx",
    b"\x00",
    b"\r",
)


@pytest.fixture
def short_timeouts(monkeypatch):
    monkeypatch.setattr(limits, "FIRST_LINE_SECONDS", 0.2)
    monkeypatch.setattr(clients, "FIRST_LINE_RECHECK_SECONDS", 0.02)


@pytest.mark.parametrize("data", MAY_RESUME)
def test_possible_resumed_line_is_waited_for_only_before_the_run(data):
    assert first_line.should_wait(data, may_precede_run=True)
    assert not first_line.should_wait(data, may_precede_run=False)


@pytest.mark.parametrize("data", CANNOT_RESUME)
def test_data_that_cannot_become_a_resumed_line_is_never_waited_for(data):
    assert not first_line.should_wait(data, may_precede_run=True)


@given(st.from_regex(lines.REQUEST_LINE, fullmatch=True), st.data())
def test_each_prefix_of_a_valid_line_may_become_a_resumed_line(line, data):
    assert first_line.may_become_resumed(line[: data.draw(st.integers(0, len(line) - 1))])


@given(st.binary(max_size=12), st.binary(max_size=12), st.integers(0, len(LINE) - 1))
def test_prefix_with_a_valid_continuation_is_recognized(malformed, rest, at):
    """If any continuation makes the bytes a valid line, they must count as a possible beginning of one."""
    prefix = LINE[:at] + malformed
    line = prefix + rest + b"\r\n"
    if lines.REQUEST_LINE.fullmatch(line):
        assert first_line.may_become_resumed(prefix)


@pytest.mark.parametrize("data", [b"GET / HT", b"OPEN 1 zz"])
@async_test
async def test_malformed_data_is_answered_in_time_before_any_request(short_timeouts, data):
    async with World(servers=1) as world:
        client, opened_at = await world.dial(), world.node.clock()
        client.writer.write(data)
        assert [await client.line(), await client.line()] == ["BUSY 1500", "fin"]
        assert (
            world.node.clock() - opened_at >= limits.FIRST_LINE_SECONDS
            and not world.node.resumed.window.requested
        )


@async_test
async def test_malformed_data_after_long_silence_is_answered(short_timeouts):
    async with World(servers=1) as world:
        client, opened_at = await world.dial(), world.node.clock()
        await world.until(lambda: world.node.clock() > opened_at + 3 * limits.FIRST_LINE_SECONDS)
        assert world.node.clients
        client.writer.write(b"GET / HT")
        assert await client.line() == "BUSY 1500"


@async_test
async def test_partial_line_is_answered_once_a_request_has_come(short_timeouts):
    async with World(servers=1) as world:
        client, opened_at = await world.dial(), world.node.clock()
        client.writer.write(LINE[:30])
        await world.until(lambda: world.node.clock() > opened_at + 3 * limits.FIRST_LINE_SECONDS)
        assert world.node.clients
        await world.establish()
        assert await client.line() == "BUSY 1500"


@async_test
async def test_partial_line_is_answered_when_resumed_connections_are_no_longer_admitted(short_timeouts):
    async with World(servers=1) as world:
        world.node.resumed.window.started -= 1000.0
        client = await world.dial()
        client.writer.write(LINE[:30])
        assert await client.line() == "BUSY 1500"


@pytest.mark.parametrize("data", [b"", LINE[:30]])
@async_test
async def test_late_writers_are_not_waited_for_during_shutdown(short_timeouts, data):
    """Such a client is answered before the last moment of the shutdown, which is over 3 s after SIGTERM."""
    async with World(servers=1) as world:
        client = await world.dial()
        client.writer.write(data)
        await world.until(lambda: world.node.clients)
        world.node.begin_shutdown()
        assert await client.line() == "BUSY 1500"
        leaving = world.node.shutdown
        assert (
            world.node.clock() < leaving.started_at + leaving.time_limit - shutdown.ANSWER_BEFORE_END_SECONDS
        )
        client.end("fin")
