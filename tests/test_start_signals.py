"""Signals that arrive while a process starts or ends.

SIGHUP and SIGUSR1 must not end the process, and a reload requested during the start must be carried out."""

import contextlib
import json
import os
import signal
import subprocess
import sys
import threading
from pathlib import Path

import pytest
from helpers import raw_settings
from processes import LineReader

ROOT = Path(__file__).parent.parent
DEADLINE_SECONDS = 20.0  # after which a process counts as hung


def configuration(discovery):
    return json.dumps(
        {
            "name": "n0",
            "listen": "127.0.0.1:0",
            "discovery": discovery,
            "settings": raw_settings(),
            "known": {
                "generation": 1,
                "reset": True,
                "instances": [
                    {
                        "instanceId": "s-0",
                        "hostPort": "127.0.0.1:1",
                        "zone": "a",
                        "cell": 0,
                        "machineType": "m",
                        "lifecycle": "in_service",
                        "weight": 1.0,
                        "startedAtMs": 0,
                    }
                ],
            },
        }
    )


class StartingProcess:
    """A process whose configuration file is a pipe: it waits in its start until the test writes to it."""

    def __init__(self, folder):
        self.path = folder / "config.json"
        os.mkfifo(self.path)
        command = [sys.executable, "-m", "bellrack", "serve", f"--config={self.path}"]
        self.process = subprocess.Popen(command, cwd=ROOT, stderr=subprocess.PIPE)
        self.log = LineReader(self.process.stderr)

    def write(self, text):
        """Write the configuration; return once the process reads it."""
        writing = threading.Thread(target=self.path.write_text, args=(text,), daemon=True)
        writing.start()
        writing.join(DEADLINE_SECONDS)
        assert not writing.is_alive(), "the process did not read the configuration"

    def end(self):
        self.process.kill()
        self.process.wait(DEADLINE_SECONDS)
        with contextlib.suppress(OSError):
            self.process.stderr.close()


@pytest.fixture
def starting(tmp_path):
    process = StartingProcess(tmp_path)
    yield process
    process.end()


def open_configuration(starting):
    """Open the pipe for writing. This returns once the process has opened it, so its interpreter is
    running."""
    return open(starting.path, "w", encoding="utf-8")


def test_reload_signal_during_the_first_read_of_the_configuration_is_carried_out(starting):
    with open_configuration(starting) as file:
        starting.process.send_signal(signal.SIGHUP)
        file.write(configuration("127.0.0.1:1"))
    starting.log.wait_for("event=serving")  # the first read is over, so the next write goes to the reload
    starting.write(configuration("127.0.0.1:2"))
    assert " discovery=127.0.0.1:2 " in starting.log.wait_for("event=reload")
    assert starting.process.poll() is None


def test_counter_signal_during_the_start_does_not_end_the_process(starting):
    with open_configuration(starting) as file:
        starting.process.send_signal(signal.SIGUSR1)
        file.write(configuration("127.0.0.1:1"))
    starting.log.wait_for("event=serving")
    assert starting.process.poll() is None


def test_termination_signal_during_the_start_ends_the_process_with_status_0(starting):
    # The process may have ended before the configuration is written to it.
    with contextlib.suppress(BrokenPipeError), open_configuration(starting) as file:
        starting.process.send_signal(signal.SIGTERM)
        file.write(configuration("127.0.0.1:1"))
    assert starting.process.wait(DEADLINE_SECONDS) == 0


# The program, changed to log when its event loop is closed, and to exit only when its standard input ends.
EXITS_ON_END_OF_INPUT = """
import asyncio, sys
from bellrack.__main__ import main
original_close = asyncio.SelectorEventLoop.close

def close(loop):
    original_close(loop)
    print("event=closed", file=sys.stderr, flush=True)
    sys.stdin.read()

asyncio.SelectorEventLoop.close = close
sys.exit(main())
"""


@pytest.mark.parametrize("number", [signal.SIGHUP, signal.SIGUSR1, signal.SIGTERM])
def test_signal_after_the_loop_is_closed_does_not_change_the_exit_status(tmp_path, number):
    """Operators may send several signals in a row, also after the event loop that handled them is closed."""
    path = tmp_path / "config.json"
    path.write_text(configuration("127.0.0.1:1"))
    command = [sys.executable, "-c", EXITS_ON_END_OF_INPUT, "serve", f"--config={path}"]
    pipes = {"stdin": subprocess.PIPE, "stderr": subprocess.PIPE}
    with subprocess.Popen(command, cwd=ROOT, **pipes) as process:
        log = LineReader(process.stderr)
        log.wait_for("event=serving")
        process.send_signal(signal.SIGTERM)
        log.wait_for("event=closed")
        process.send_signal(number)
        process.stdin.close()
        assert process.wait(DEADLINE_SECONDS) == 0


def test_deploy_file_starts_the_process_with_operator_signals_ignored():
    """Before any code of the program runs, a signal with its default action would end the process."""
    import tomllib

    run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    shown = run.rpartition("exec ")[0] + "exec grep SigIgn /proc/self/status"
    ignored = int(subprocess.check_output(["/bin/sh", "-c", shown], text=True).split()[1], 16)
    for number in (signal.SIGHUP, signal.SIGUSR1):
        assert ignored >> (number - 1) & 1
