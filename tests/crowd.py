"""A process of clients that hold descriptors of a balancer without making a request.

`crowd.py PORT COUNT HOW`: `silent` sends nothing and is slow to notice that it was disconnected; `slow`
writes one byte per second of a line that never ends; `again` reconnects at once after it was disconnected.
All clients reconnect until the process is killed.
"""

import selectors
import socket
import sys
import time

RECONNECT_SECONDS = {"silent": 1.0, "slow": 0.3, "again": 0.0}  # from the end of a connection to the next


def main(port: int, count: int, how: str) -> None:
    """Runs `count` clients of 127.0.0.1:`port`; prints a line once all have begun to connect."""
    selector, to_reconnect, last_write = selectors.DefaultSelector(), [], time.monotonic()

    def connect() -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
        selector.register(sock, selectors.EVENT_READ)

    for _ in range(count):
        connect()
    print("connecting", flush=True)
    while True:
        for key, _ in selector.select(0.02):
            try:
                data = key.fileobj.recv(4096)
            except OSError:
                data = b""
            if not data:
                selector.unregister(key.fileobj)
                to_reconnect.append((time.monotonic() + RECONNECT_SECONDS[how], key.fileobj))
        now = time.monotonic()
        for when, sock in [entry for entry in to_reconnect if entry[0] <= now]:
            to_reconnect.remove((when, sock))
            sock.close()
            connect()
        if how == "slow" and now - last_write >= 1.0:
            last_write = now
            for key in list(selector.get_map().values()):
                try:
                    key.fileobj.send(b"O")
                except OSError:
                    continue  # the end of the connection is read above


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])
