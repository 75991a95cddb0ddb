"""Receive buffers, lines, HTTP responses, lists and log lines, without a socket."""

import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bellrack import model
from bellrack.net import lines, log
from bellrack.net.receive_buffer import ReceiveBuffer


@settings(derandomize=True)
@given(st.lists(st.binary(min_size=1, max_size=9) | st.sampled_from([b"\r\n", b"a\r\nb\r\n"]), max_size=60))
def test_receive_buffer_returns_what_was_put_in(pieces):
    buffer, expected = ReceiveBuffer(16), bytearray()
    for piece in pieces:
        while piece:
            space = buffer.writable_space()
            assert len(space) > 0 or buffer.full
            part = piece[: len(space)]
            space[: len(part)] = part
            buffer.commit(len(part))
            expected += part
            piece = piece[len(part) :]
            while (line := buffer.take_line()) is not None:
                assert line.endswith(b"\n") and expected.startswith(line) and b"\n" not in line[:-1]
                del expected[: len(line)]
            assert b"\n" not in expected and buffer.length == len(expected)
            if buffer.full:
                assert buffer.take(buffer.length) == bytes(expected)
                expected.clear()


BODY = (b'{"a":1}\n', b"\n", b"x" * 300)
CHUNKED = (
    b"HTTP/1.1 200 OK\r\ntransfer-encoding:  Chunked\r\nX: y\r\n\r\n"
    + b"".join(b"%x;ext=1\r\n%b\r\n" % (len(part), part) for part in BODY)
    + b"0\r\n\r\n"
)
SIZED = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 309\r\n\r\n" + b"".join(BODY)


@pytest.mark.parametrize("response", [CHUNKED, SIZED])
@pytest.mark.parametrize("step", [1, 2, 3, 7, 1000])
def test_parses_an_http_response_the_same_in_any_pieces(response, step):
    reader = lines.HttpResponseReader()
    body = b"".join(reader.feed(response[at : at + step]) for at in range(0, len(response), step))
    assert (reader.status, reader.done, body) == (200, True, b"".join(BODY))


@pytest.mark.parametrize(
    "response",
    [
        b"SSH-2.0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    ],
)
def test_rejects_a_malformed_http_response(response):
    with pytest.raises(lines.LineError):
        lines.HttpResponseReader().feed(response)


@pytest.mark.parametrize(
    "raw",
    [
        [],
        {},
        {"generation": 1, "reset": True, "instances": [{}]},
        {"generation": float("inf"), "reset": True, "instances": []},
        {
            "generation": 1,
            "reset": True,
            "instances": [{"instanceId": "s", "zone": "a", "lifecycle": "in_service"}],
        },
    ],
)
def test_rejects_a_malformed_list(raw):
    with pytest.raises(lines.LineError):
        lines.parse_list(raw)


def test_accepts_a_list_with_an_entry_in_an_unknown_state_or_without_an_address():
    odd = {"instanceId": "s-1", "hostPort": "h:1", "zone": "a", "lifecycle": "resting"}
    gone = {"instanceId": "s-2", "lifecycle": "terminated"}
    news = lines.parse_list({"generation": 1, "reset": False, "instances": [odd, gone]})
    assert [(entry.row[0], entry.address) for entry in news.entries] == [
        (model.DRAINING, ("h", 1)),
        (model.GONE, None),
    ]


@pytest.mark.parametrize("weight", [0, -1, float("inf"), float("nan"), None, "many", True, 10**400])
def test_ignores_a_weight_or_start_that_is_not_a_finite_number(weight):
    # One such entry would make every mean over the servers infinite or not a number.
    raw = {
        "instanceId": "s",
        "hostPort": "h:1",
        "zone": "a",
        "lifecycle": "in_service",
        "weight": weight,
        "startedAtMs": float("nan"),
    }
    assert lines.parse_entry(raw).row[2:] == (None, 0.0)  # the weight listed before is kept
    assert lines.parse_entry(raw | {"weight": 3.5}).row[2] == 3.5


@pytest.mark.parametrize("text", [b"[" * 100_000, b"{", b"\xff"])
def test_rejects_text_that_is_not_json(text):
    with pytest.raises(lines.LineError):
        lines.parse_json(text)


def test_id_hash_is_the_same_in_every_process():
    assert lines.id_hash("s-5be2a07c") == 0x850D21AD14919D0C


def test_log_line_is_key_value_pairs_on_one_line():
    record = logging.LogRecord("bellrack", logging.INFO, "", 0, "ended", None, None)
    record.fields = {"side": "client", "took": 0.25, "text": 'said "no"\n', "none": ""}
    text = log.KeyValueFormatter().format(record)
    assert text.endswith(' level=info event=ended side=client took=0.250 text="said \\"no\\"\\x0a" none=""')
