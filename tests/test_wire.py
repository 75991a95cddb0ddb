"""The codec of the simulator's protocol, with the worked examples of its documentation."""

import io
import json
import struct

import pytest
from helpers import LIVE, raw_settings

from bellrack import model
from bellrack.settings import parse_settings
from bellrack.simulator import tally, wire
from bellrack.simulator.adapter import Adapter


def frame(*records: str, tail: bytes = b"", number: int = 1, clock: int = 1) -> bytes:
    body = b"".join(bytes.fromhex(r.replace(" ", "")).ljust(wire.EVENT_SIZE, b"\0") for r in records) + tail
    return struct.pack(">IQII", number, clock, len(body) + 4, len(records)) + body


def read(data: bytes) -> list:
    return list(wire.read_batch(io.BytesIO(data)))


def test_worked_examples_of_the_protocol():
    empty = bytes.fromhex("00000001 0000000000805c5a 00000004 00000000".replace(" ", ""))
    assert read(empty) == []
    assert wire.Reply(1).encode().hex() == "000000010000000400000000"
    inbound = "010b 000fc5385d3a91c4 91f03b7c55d20a64 0003a980 2b8e6401d9f37c10 00002ee0 00000000 01 0000"
    batch = frame("0105 0003", inbound, "0101 000000000000004d", "0105 0005", "0102 0007bc9e0e6f2b19")
    assert read(batch) == [
        ("On", (3,)),
        ("Inbound", (0xFC5385D3A91C4, 0x91F03B7C55D20A64, 240000, 0x2B8E6401D9F37C10, 12000, 0, 1, 0)),
        ("TickDue", (77,)),
        ("On", (5,)),
        ("Dropped", (0x7BC9E0E6F2B19,)),
    ]
    reply = wire.Reply(12)
    reply.add(3, "Forward", 0xFC5385D3A91C4, 0x03124A07, 0x8194DA)
    reply.add(3, "SetAlarm", 0x87FD7A, 77)
    reply.add_data(5, "JournalLine", b"two servers known")
    data = reply.encode()
    assert data[:12].hex() == "0000000c0000008d00000005" and data.endswith(b"two servers known")
    assert data[12:16].hex() == "01430003"
    assert data[36:58].hex() == "0147000fc5385d3a91c403124a0700000000008194da"


def test_entries_of_a_list():
    tail = bytes.fromhex(
        "0100000 03f800000 0000000000000000 00 03124a07".replace(" ", "")
        + "01 0000 01 3fc00000 00000000005d1420 00 2c9011f2".replace(" ", "")
    )
    events = read(frame("0105 0003", "0109 00000000 00000000 00000002", tail=tail))
    assert wire.entries(events[1][1][1]) == [
        (1, 0, 0, 1.0, 0, 0, 0x03124A07),
        (1, 0, 1, 1.5, 0x5D1420, 0, 0x2C9011F2),
    ]


@pytest.mark.parametrize(
    "data, message",
    [
        (frame("0999"), "unknown code 2457"),
        (frame("0109 00000000 00000001 00000002", tail=b"\0" * 42), "Pool.membersList"),
        (frame("0105 0003")[:40], "truncated"),
        (frame("0105 0003")[:9], "batch header"),
        (struct.pack(">IQII", 1, 1, 4, 3), "record count 3"),
        (frame("0105 0003", "0102 0007bc9e0e6f2b19"), "Dropped for instance 3"),
        (frame("0102 0007bc9e0e6f2b19"), "before any On"),
        (
            frame("0105 0003", "0106 0000000000000001 00000000 00000002", tail=b"{}"),
            "Launch.setup: missing key or unknown value",
        ),
    ],
)
def test_malformed_input_is_named(data, message):
    with pytest.raises(wire.WireError, match=message):
        Adapter().answer(wire.read_batch(io.BytesIO(data)))


def test_unknown_settings_are_skipped():
    raw = {
        "trafficTypes": [{"effect": "fragile", "setupTargetUs": 5, "new": 1}],
        "specifics": {},
        "az": 2,
        "peersTotal": 3,
        "discovery": "push",
        "prices": {},
        "caps": {"maxLegs": 2},
        "more": [],
        "obligations": {
            "answerSlackUs": 1,
            "coldShare": 0.5,
            "rampTimeUs": 4e6,
            "overloadFactor": 2,
            "fallUs": 1e6,
        },
    }
    settings = parse_settings(raw)
    assert (settings.zone, settings.asks, settings.types[0].message_aim) == (2, False, 5e-6)


def entry(machine: int, server: int) -> str:
    return f"01 0000 00 40600000 0000000000000000 {machine:02x} {server:08x}"


def launch(raw: dict, *listed: str, more: tuple[str, ...] = (), tail: str = "") -> bytes:
    """Returns a frame that starts instance 3 with these entries. In `more`, "end" is the offset of `tail`."""
    setup, known = json.dumps(raw).encode(), bytes.fromhex("".join(listed).replace(" ", ""))
    end = f"{len(setup) + len(known):08x}"
    return frame(
        "0105 0003",
        f"0106 0000000000000001 00000000 {len(setup):08x}",
        f"0109 00000000 {len(setup):08x} {len(listed):08x}",
        "0103 02 00000000 00000001",
        *(record.replace("end", end) for record in more),
        tail=setup + known + bytes.fromhex(tail.replace(" ", "")),
        clock=10**8,
    )


def test_change_of_one_server_leaves_servers_of_other_machine_types_listed():
    adapter = Adapter()
    adapter.answer(
        wire.read_batch(
            io.BytesIO(
                launch(
                    raw_settings(discovery="push", weights="live"),
                    entry(0, 1),
                    entry(1, 2),
                    tail=entry(1, 2),
                    more=("0109 00000001 end 00000001", "0103 00 00000001 00000002"),
                )
            )
        )
    )
    servers = adapter.instances[3].servers.values()
    assert [(server.state, server.machine_type) for server in servers] == [(model.READY, 0), (model.READY, 1)]


def test_tally_counts_the_decisions_of_a_recorded_run(tmp_path, capsys, monkeypatch):
    raw = raw_settings(**LIVE | {"report": {"how": "on_probe", "fields": ["x0"]}})
    call = "010b 0000000000000001 0000000000000000 001e8480 0000000000000009 00000000 00000000 00 0000"
    frames = [
        launch(raw, entry(0, 1)),
        frame("0105 0003", call, number=2, clock=10**8 + 10),
        frame("0105 0003", "0107 00000001 0a 00000064 01 3f733333", number=3, clock=10**8 + 20),
    ]
    tap = tmp_path / "tap"
    tap.write_text(
        "".join(
            f">> process 0, {len(one)} bytes\n{one.hex()}\n<< process 0, 12 bytes\n00\n" for one in frames
        )
    )
    monkeypatch.setattr("sys.argv", ["tally", str(tap)])
    assert tally.main() == 0
    said = capsys.readouterr().out
    assert "lots without room: {'load': 2}" in said  # in its zone, then in any
    assert "failures 0, marks 0" in said and "probes 1; most in a second to one server 1, to a cold" in said
    assert "machine 0: calls a core 0.0" in said
    tap.write_text(">> process 0, 2 bytes\nzz\n")
    assert tally.main() == 2 and capsys.readouterr().err.count("\n") == 1
