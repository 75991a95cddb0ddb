"""What single clients cost the others, played by hand: `python tests/play_pressure.py PLAY`.

    turnover   callers with ever new ids, keys and groups, each served and gone at once; `--wait` is `d` in ms
    standing   standing clients that have sent a line and had it back
    wide       standing clients whose request lines have very many short fields
    slow       clients that wrote such a line in slow pieces, without its end
    flood      standing clients that send empty lines at full speed
    loads      servers that send `LOAD` lines at full speed on standing connections
    admin      callers of the admin address that send empty lines at full speed

Prints the memory of the balancer before, at the end of and after the play, and how long other clients waited
for `UP` and for the echo of a line.
"""

import argparse
import collections
import contextlib
import json
import multiprocessing
import os
import selectors
import socket
import statistics
import tempfile
import threading
import time
from pathlib import Path

from helpers import raw_settings
from processes import BalancerProcess, running

WIDE_FIELDS = ",".join(f"{chr(97 + n % 26)}{n}=" for n in range(750))[:3900].rpartition(",")[0]
CHUNK = b"\r\n" * 4096
IDLE_PLAYS = ("standing", "wide", "slow")  # in which clients are quiet once they are connected
SERVERS = 200  # all at one address; those of clients that flood look late, the others do not
PROBE_INTERVAL_SECONDS = 0.05  # between two measurements of what other clients wait


def serve(listener: socket.socket) -> None:
    """Answer `UP` to each first line and echo the rest; a key of `5` answers each piece with one empty line,
    however many lines it has, `6` sends LOAD lines."""
    selector = selectors.DefaultSelector()
    selector.register(listener, selectors.EVENT_READ)
    flooded, swallowed = set(), set()
    while True:
        for sock in list(flooded):
            with contextlib.suppress(OSError):
                sock.send(b"LOAD 1\r\n" * 1024)
        for key, _ in selector.select(0 if flooded else None):
            if key.fileobj is listener:
                sock, _ = listener.accept()
                sock.setblocking(False)
                selector.register(sock, selectors.EVENT_READ, [b""])
                continue
            sock, head = key.fileobj, key.data
            try:
                data = sock.recv(65536)
            except OSError:
                data = b""
            if not data:
                flooded.discard(sock)
                swallowed.discard(sock)
                selector.unregister(sock)
                sock.close()
            elif head[0] is not None:
                head[0] += data
                if head[0].endswith(b"\n"):
                    kind = head[0].split(b" ")[2]
                    head[0] = None
                    sock.send(b"UP 1\r\n")
                    if kind == b"6":
                        flooded.add(sock)
                    elif kind == b"5":
                        swallowed.add(sock)
            elif sock not in flooded:
                with contextlib.suppress(OSError):
                    sock.send(b"\r\n" if sock in swallowed else data)


def discover(listener: socket.socket, line: bytes) -> None:
    """Discovery: one list, then empty lines."""

    def answer(sock: socket.socket) -> None:
        with contextlib.suppress(OSError):
            sock.recv(65536)
            sock.sendall(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            sock.sendall(b"%x\r\n%b\r\n" % (len(line), line))
            while True:
                time.sleep(2.0)
                sock.sendall(b"1\r\n\n\r\n")

    while True:
        threading.Thread(target=answer, args=(listener.accept()[0],), daemon=True).start()


def request(number: int, key: str, wait: int, more: str = "") -> bytes:
    return f"OPEN {number:016x} {key} c=chat,t=acme,d={wait}{more}\r\n".encode()


def connect(address: tuple[str, int], line: bytes) -> socket.socket:
    sock = socket.create_connection(address, 20)
    sock.sendall(line)
    return sock


def turn_over(address: tuple[str, int], number: int, seconds: float, wait: int) -> None:
    """One caller: each request has a new id, key and group, and is left once it is served."""
    end, count = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        count += 1
        id = (number << 32) + count
        with connect(address, request(id, f"{id:x}", wait, f",g={id:x}")) as sock:
            sock.recv(100)


def flood(address: tuple[str, int], number: int, seconds: float) -> None:
    """One standing client that sends empty lines at full speed; it comes again once it is moved."""
    end, count = time.monotonic() + seconds, 0
    while time.monotonic() < end:
        count += 1
        with (
            contextlib.suppress(OSError),
            connect(address, request((number << 32) + count, "5", 20000)) as sock,
        ):
            sock.recv(100)
            while time.monotonic() < end:
                sock.send(CHUNK)


def stand(address: tuple[str, int], number: int, seconds: float) -> None:
    """One standing client whose server sends LOAD lines."""
    with connect(address, request(number << 32, "6", 20000)) as sock:
        end = time.monotonic() + seconds
        while time.monotonic() < end and sock.recv(65536):
            pass


def send_empty_lines(address: tuple[str, int], number: int, seconds: float) -> None:
    """A caller of the admin address."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        with contextlib.suppress(OSError), socket.create_connection(address, 20) as sock:
            while time.monotonic() < end:
                sock.send(CHUNK)


def memory(process: BalancerProcess) -> float:
    """The resident memory of a process in MB."""
    status = Path(f"/proc/{process.process.pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / 1024


def measure(address: tuple[str, int], seconds: float) -> None:
    """Print how long other clients wait meanwhile."""
    ups, echoes, others = [], [], collections.Counter()
    end, number, standing = time.monotonic() + seconds, 1 << 60, None
    while time.monotonic() < end:
        number += 1
        began = time.monotonic()
        sock = connect(address, request(number, "1", 20000))
        if (answer := sock.recv(100)) == b"UP 1\r\n":
            ups.append(time.monotonic() - began)
        else:
            others[answer] += 1
        if standing is None and answer == b"UP 1\r\n":
            standing = sock
        else:
            sock.close()
        if standing:
            began = time.monotonic()
            standing.sendall(b"line\r\n")
            if (answer := standing.recv(100)) == b"line\r\n":
                echoes.append(time.monotonic() - began)
            else:
                others[answer] += 1
                standing = None
        time.sleep(PROBE_INTERVAL_SECONDS)
    for name, waits in (("UP", ups), ("echo", echoes)):
        if waits:
            print(
                f"  {name}: {len(waits)} times, median {1000 * statistics.median(waits):.0f} ms,"
                f" worst {1000 * max(waits):.0f} ms"
            )
    print(f"  other answers: {dict(others)}")


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("play", choices=["turnover", "standing", "wide", "slow", "flood", "loads", "admin"])
    parser.add_argument("--clients", type=int, default=4)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--wait", type=int, default=60000)
    words = parser.parse_args()
    servers, discovery = (socket.create_server(("127.0.0.1", 0), backlog=1024) for _ in range(2))
    place = "{}:{}".format(*servers.getsockname())
    entry = {"hostPort": place, "zone": "a", "cell": 0, "machineType": "m", "lifecycle": "in_service"}
    rows = [entry | {"instanceId": f"s-{n}", "weight": 10.0, "startedAtMs": 0} for n in range(SERVERS)]
    line = json.dumps({"generation": 1, "reset": True, "instances": rows}).encode() + b"\n"
    started = [
        multiprocessing.Process(target=serve, args=(servers,), daemon=True),
        multiprocessing.Process(target=discover, args=(discovery, line), daemon=True),
    ]
    for one in started:
        one.start()
    with tempfile.TemporaryDirectory() as folder:
        raw = {
            "listen": "127.0.0.1:0",
            "control": "127.0.0.1:0" if words.play != "admin" else f"127.0.0.1:{free_port()}",
            "discovery": "{}:{}".format(*discovery.getsockname()),
            "limits": {"sockets": 8192},
            "settings": raw_settings(),
            "known": {"generation": 0, "reset": True, "instances": rows},
        }
        balancer = BalancerProcess(Path(folder), "n0", raw)
        with running([balancer]):
            address = balancer.address()
            play(words, balancer, address)


def free_port() -> int:
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()[1]


def play(words: argparse.Namespace, balancer: BalancerProcess, address: tuple[str, int]) -> None:
    print(f"idle: {memory(balancer):.0f} MB")
    clients = []
    if words.play in IDLE_PLAYS:
        for number in range(words.clients):
            whole = request(number, "1", 20000, "" if words.play == "standing" else "," + WIDE_FIELDS)
            if words.play == "slow":
                clients.append(connect(address, whole[: len(whole) // 2]))
                continue
            clients.append(connect(address, whole))
            clients[-1].recv(100)
            if words.play == "standing":
                clients[-1].sendall(b"line\r\n")
                clients[-1].recv(100)
    else:
        target = {"turnover": turn_over, "flood": flood, "loads": stand, "admin": send_empty_lines}
        where = address
        if words.play == "admin":
            host, port = balancer.raw["control"].split(":")
            where = host, int(port)
        extra = (words.wait,) if words.play == "turnover" else ()
        for number in range(words.clients):
            clients.append(
                multiprocessing.Process(
                    target=target[words.play], args=(where, number + 1, words.seconds, *extra), daemon=True
                )
            )
            clients[-1].start()
        time.sleep(1.0)
    measure(address, 2.0 if words.play in IDLE_PLAYS else min(words.seconds - 1.5, 10.0))
    print(f"at the end: {memory(balancer):.0f} MB")
    for client in clients:
        client.join() if hasattr(client, "join") else client.close()
    time.sleep(3.0)
    print(f"3 s after: {memory(balancer):.0f} MB")
    counters = balancer.counters()
    print(
        {
            name: counters[name]
            for name in ("stood", "longest_turn_us", "lines_to_servers")
            if name in counters
        }
    )


if __name__ == "__main__":
    os.environ.setdefault("PYTHONUNBUFFERED", "1")
    main()
