"""The frame codec and the worked examples of the wire's page."""
import io
import json
import struct

import pytest
from helpers import raw_settings

from bellrack import model
from bellrack.drill import wire
from bellrack.drill.adapter import Adapter
from bellrack.settings import parse_settings


def frame(*records: str, tail: bytes = b"", number: int = 1, clock: int = 1) -> bytes:
    body = b"".join(bytes.fromhex(r.replace(" ", "")).ljust(wire.EVENT_SIZE, b"\0") for r in records) + tail
    return struct.pack(">IQII", number, clock, len(body) + 4, len(records)) + body


def read(data: bytes) -> list:
    return list(wire.read_batch(io.BytesIO(data)))


def test_worked_examples():
    empty = bytes.fromhex("00000001 0000000000805c5a 00000004 00000000".replace(" ", ""))
    assert read(empty) == []
    assert wire.Reply(1).encode().hex() == "000000010000000400000000"
    inbound = "010b 000fc5385d3a91c4 91f03b7c55d20a64 0003a980 2b8e6401d9f37c10 00002ee0 00000000 01 0000"
    batch = frame("0105 0003", inbound, "0101 000000000000004d", "0105 0005", "0102 0007bc9e0e6f2b19")
    assert read(batch) == [
        ("On", (3,)),
        ("Inbound", (0xFC5385D3A91C4, 0x91F03B7C55D20A64, 240000, 0x2B8E6401D9F37C10, 12000, 0, 1, 0)),
        ("TickDue", (77,)), ("On", (5,)), ("Dropped", (0x7BC9E0E6F2B19,))]
    reply = wire.Reply(12)
    reply.add(3, "Forward", 0xFC5385D3A91C4, 0x03124A07, 0x8194DA)
    reply.add(3, "SetAlarm", 0x87FD7A, 77)
    reply.add_data(5, "JournalLine", b"two servers known")
    data = reply.encode()
    assert data[:12].hex() == "0000000c0000008d00000005" and data.endswith(b"two servers known")
    assert data[12:16].hex() == "01430003"
    assert data[36:58].hex() == "0147000fc5385d3a91c403124a0700000000008194da"


def test_list_entries():
    tail = bytes.fromhex("0100000 03f800000 0000000000000000 00 03124a07".replace(" ", "")
                         + "01 0000 01 3fc00000 00000000005d1420 00 2c9011f2".replace(" ", ""))
    events = read(frame("0105 0003", "0109 00000000 00000000 00000002", tail=tail))
    assert wire.entries(events[1][1][1]) == [
        (1, 0, 0, 1.0, 0, 0, 0x03124A07), (1, 0, 1, 1.5, 0x5D1420, 0, 0x2C9011F2)]


@pytest.mark.parametrize("data, told", [
    (frame("0999"), "unknown code 2457"),
    (frame("0109 00000000 00000001 00000002", tail=b"\0" * 42), "Pool.membersList"),
    (frame("0105 0003")[:40], "truncated"),
    (frame("0105 0003")[:9], "batch header"),
    (struct.pack(">IQII", 1, 1, 4, 3), "record count 3"),
    (frame("0105 0003", "0102 0007bc9e0e6f2b19"), "Dropped for instance 3"),
    (frame("0102 0007bc9e0e6f2b19"), "before any On"),
    (frame("0105 0003", "0106 0000000000000001 00000000 00000002", tail=b"{}"), "Launch.setup: no usable"),
])
def test_bad_input_is_named(data, told):
    with pytest.raises(wire.WireError, match=told):
        Adapter().answer(wire.read_batch(io.BytesIO(data)))


def test_settings_skip_what_is_unknown():
    raw = {"trafficTypes": [{"effect": "fragile", "setupTargetUs": 5, "new": 1}], "specifics": {}, "az": 2,
           "peersTotal": 3, "discovery": "push", "prices": {}, "caps": {"maxLegs": 2}, "more": [],
           "obligations": {"answerSlackUs": 1, "coldShare": 0.5, "rampTimeUs": 4e6, "overloadFactor": 2,
                           "fallUs": 1e6}}
    settings = parse_settings(raw)
    assert (settings.zone, settings.asks, settings.types[0].message_aim) == (2, False, 5e-6)


def test_a_change_of_one_server_leaves_the_others_listed_whatever_its_machine():
    settings = json.dumps(raw_settings(discovery="push", weights="live")).encode()
    entry = "01 0000 00 3f800000 0000000000000000 {} 0000000{}"
    tail = settings + bytes.fromhex((entry.format("00", 1) + entry.format("01", 2) + entry.format("01", 2))
                                    .replace(" ", ""))
    adapter = Adapter()
    adapter.answer(wire.read_batch(io.BytesIO(frame(
        "0105 0003", f"0106 0000000000000001 00000000 {len(settings):08x}",
        f"0109 00000000 {len(settings):08x} 00000002", "0103 02 00000000 00000001",
        f"0109 00000001 {len(settings) + 42:08x} 00000001", "0103 00 00000001 00000002", tail=tail))))
    servers = adapter._instances[3].servers.values()
    assert [(server.state, server.kind) for server in servers] == [(model.READY, 0), (model.READY, 1)]
