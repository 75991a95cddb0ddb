"""Ids that come through an upgrade of real processes, and come again at the other process."""

import signal
import socket
import threading

from helpers import raw_settings
from processes import (
    HANG_TIMEOUT_SECONDS,
    BalancerProcess,
    StubProcess,
    bound_socket,
    format_address,
    ordinary_line,
    running,
)

INTERVAL_SECONDS = 0.008  # between two requests
BEFORE, AFTER = 60, 60  # requests before the upgrade begins, and after the new process serves


def ask(address, number):
    """Send a request, read its answer and leave. Return the answer; empty if there was none."""
    try:
        with socket.create_connection(address, HANG_TIMEOUT_SECONDS) as sock:
            sock.sendall(ordinary_line(number))
            return sock.recv(100).decode().strip()
    except ConnectionError:
        return ""


class Requests(threading.Thread):
    """Sends requests with ever new ids until it is told to stop, and records which were served."""

    def __init__(self, address):
        super().__init__(daemon=True)
        self.address, self.served, self.stopped = address, [], threading.Event()
        self.changed = threading.Condition()

    def run(self):
        number = 0
        while not self.stopped.wait(INTERVAL_SECONDS):
            number += 1
            if ask(self.address, number).startswith("UP "):
                with self.changed:
                    self.served.append(number)
                    self.changed.notify_all()

    def wait_for(self, count):
        """Wait until so many requests were served."""
        with self.changed:
            assert self.changed.wait_for(lambda: len(self.served) >= count, HANG_TIMEOUT_SECONDS)


def test_ids_of_an_upgrade_do_not_run_again_at_the_new_process(tmp_path):
    """What the old process took after its snapshot was not known to the new one: 2 or 3 of 250 ran twice."""
    stub_services = StubProcess(3)
    sockets = [bound_socket() for _ in range(3)]
    listen, *controls = map(format_address, sockets)
    raw = {
        "name": "n0",
        "listen": listen,
        "discovery": stub_services.discovery,
        "settings": raw_settings(),
        "known": {"generation": 0, "reset": True, "instances": stub_services.entries},
    }
    old, new = (
        BalancerProcess(tmp_path, name, raw | {"control": control})
        for name, control in zip(("old", "new"), controls)
    )
    try:
        with running([old]):
            address = old.address()
            requests = Requests(address)
            requests.start()
            requests.wait_for(BEFORE)
            with running([new]):
                new.log.wait_for("event=serving")
                requests.wait_for(len(requests.served) + AFTER)
                old.send_signal(signal.SIGTERM)
                requests.stopped.set()
                requests.join(HANG_TIMEOUT_SECONDS)
                again = [ask(address, number) for number in requests.served]
                assert old.process.wait(HANG_TIMEOUT_SECONDS) == 0
                report = stub_services.command("report")
        assert len(requests.served) > BEFORE + AFTER and set(again) == {"SYNTAX"}
        runs = [server["ups"].get(f"{n:016x}", 0) for server in report.values() for n in requests.served]
        assert sum(runs) == len(requests.served)
    finally:
        stub_services.end()
        for sock in sockets:
            sock.close()
