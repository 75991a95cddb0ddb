"""A crowd of clients that hold descriptors and want nothing, as a process of its own.

`crowd.py PORT COUNT HOW`: `silent` says nothing and is slow to notice its end; `slow` writes a byte a second
of a line that never ends; `again` comes again at once when let go. All come again, so the crowd lasts until
the process is ended.
"""

import selectors
import socket
import sys
import time

AGAIN = {"silent": 1.0, "slow": 0.3, "again": 0.0}  # seconds from its end until one comes again


def main(port: int, count: int, how: str) -> None:
    selector, back, wrote = selectors.DefaultSelector(), [], time.monotonic()

    def dial() -> None:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(("127.0.0.1", port))
        selector.register(sock, selectors.EVENT_READ)

    for _ in range(count):
        dial()
    print("there", flush=True)
    while True:
        for key, _ in selector.select(0.02):
            try:
                said = key.fileobj.recv(4096)
            except OSError:
                said = b""
            if not said:
                selector.unregister(key.fileobj)
                back.append((time.monotonic() + AGAIN[how], key.fileobj))
        now = time.monotonic()
        for when, sock in [one for one in back if one[0] <= now]:
            back.remove((when, sock))
            sock.close()
            dial()
        if how == "slow" and now - wrote >= 1.0:
            wrote = now
            for key in list(selector.get_map().values()):
                try:
                    key.fileobj.send(b"O")
                except OSError:
                    continue  # its end is read


if __name__ == "__main__":
    main(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3])
