"""Mutation tests of resumed connections, run by hand: `python tests/play_mutants.py`. Takes some minutes.

Each mutant removes or inverts one part of the code in a copy of the program, and the tests are run there.
Prints the tests that detect it. Exits with 1 if a mutant is detected by no test, or no longer applies.
"""

import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
TESTS = ("tests/test_resumption.py", "tests/test_resumed.py")
MAX_PARALLEL = 4  # copies that are tested at the same time


@dataclass(frozen=True)
class Mutant:
    name: str
    file: str  # below bellrack/
    old: str  # occurs exactly once in the file
    new: str


MUTANTS = [
    Mutant(
        "window closes at the first request",
        "net/resumption.py",
        "        return now <= self.closes_at\n",
        "        return now <= self.closes_at and not self.requested\n",
    ),
    Mutant(
        "window of 40 s",
        "net/resumption.py",
        "return self.started + ALL_READY_SECONDS + RESUME_TIMEOUT_SECONDS",
        "return self.started + RESUME_TIMEOUT_SECONDS",
    ),
    Mutant(
        "window never closes",
        "net/resumption.py",
        "        return now <= self.closes_at\n",
        "        return True\n",
    ),
    Mutant(
        "deadline of the traffic type",
        "net/node.py",
        'self.resumed.admit(client, wait if "d" in values else None)',
        "self.resumed.admit(client, wait)",
    ),
    Mutant(
        "silent connections are closed before the run",
        "net/clients.py",
        "if self.call is None and first_line.should_wait(self.received.peek(), may_precede_run):",
        "if False:",
    ),
    Mutant(
        "silent connections are never closed",
        "net/clients.py",
        "if self.call is None and first_line.should_wait(self.received.peek(), may_precede_run):",
        "if self.call is None:",
    ),
    Mutant(
        "resumed connections do not show that others follow",
        "net/resumption.py",
        "return self.admits(now) and (pending > 0 or now - self.last_resumed < self.evidence_seconds)",
        "return False",
    ),
    Mutant(
        "an earlier request counts",
        "net/resumption.py",
        "self.last_resumed, self.requested, self.client_line_seen = now, False, False",
        "self.last_resumed = now",
    ),
    Mutant(
        "rejects at the request line",
        "net/clients.py",
        'if "at" not in self.request_line.values and not self.node.limits.make_room(self.node.now):',
        "if not self.node.limits.make_room(self.node.now):",
    ),
    Mutant(
        "rejects before the request line",
        "net/clients.py",
        "        if not expected and not self.node.resumed.expects_more():\n",
        "        if True:\n",
    ),
    Mutant(
        "rejects the first resumed connection before its request line",
        "net/clients.py",
        "        if not expected and not self.node.resumed.expects_more():\n",
        "        if not self.node.resumed.expects_more():\n",
    ),
    Mutant(
        "silent connections are evicted at once",
        "net/limits.py",
        "grace = RESUMED_GRACE_SECONDS if self.expects_resumed() else SILENT_GRACE_SECONDS",
        "grace = SILENT_GRACE_SECONDS",
    ),
    Mutant(
        "ignores descriptors",
        "net/resumed.py",
        "        return not self.node.limits.lacks(limits.DESCRIPTORS_PER_ATTEMPT)\n",
        "        return True\n",
    ),
    Mutant(
        "makes no room",
        "net/resumed.py",
        "        self.node.limits.make_room(self.node.now)\n",
        "",
    ),
    Mutant(
        "EMFILE ends the task",
        "net/servers.py",
        "        sock = None\n        try:\n            sock = socket.socket(socket.AF_INET)",
        "        sock = socket.socket(socket.AF_INET)\n        try:\n            pass",
    ),
    Mutant(
        "one attempt uses up the time",
        "net/resumption.py",
        "return Attempt(min(now + timeout, self.answer_by))",
        "return Attempt(self.answer_by)",
    ),
    Mutant(
        "attempts do not get longer",
        "net/resumption.py",
        "self.timeouts += timed_out",
        "pass",
    ),
    Mutant(
        "no second attempt",
        "net/resumption.py",
        "        self.state = State.WAITING\n        self.may",
        "        self.state = State.CLOSED\n        self.may",
    ),
    Mutant(
        "connect timeout of ordinary requests",
        "net/servers.py",
        "wait = math.inf if resumed else node.names.connect_timeout",
        "wait = node.names.connect_timeout",
    ),
    Mutant(
        "BYE is not an answer",
        "net/node.py",
        '            connection.client.finish("completed")\n',
        '            connection.resumed or connection.client.finish("completed")\n',
    ),
    Mutant(
        "only usable servers",
        "net/servers.py",
        "elif not self.resumes and not server.usable:",
        "elif not server.usable:",
    ),
    Mutant(
        "not answered at shutdown",
        "net/shutdown.py",
        "        self.node.resumed.answer_all()\n",
        "",
    ),
    Mutant(
        "always BUSY at shutdown",
        "net/resumed.py",
        "if self.may_have_run(client):",
        "if False:",
    ),
    Mutant(
        "not handed over",
        "net/handoff.py",
        "if client.call is None or client.paired or resumable:",
        "if client.call is None or client.paired:",
    ),
    Mutant(
        "a hot restart opens the window again",
        "net/hot_restart.py",
        'node.resumed.window.started = min(node.started_at, float(told.get("started", node.started_at)))',
        "pass",
    ),
    Mutant(
        "does not listen before it is ready",
        "net/startup.py",
        "listen_at = node.started_at + resumption.LISTEN_AFTER_SECONDS if alone else math.inf",
        "listen_at = math.inf",
    ),
    Mutant(
        "takes requests before it is ready",
        "net/startup.py",
        "    node.takes_requests = False\n",
        "",
    ),
    Mutant(
        "moves before the run",
        "net/resumed.py",
        "return held_back and not leg.server.cordoned",
        "return False",
    ),
    Mutant(
        "cordons are held back too",
        "net/resumed.py",
        "return held_back and not leg.server.cordoned",
        "return held_back",
    ),
    Mutant(
        "moves are held back for ever",
        "accounting.py",
        "            leg.server.local_state.established_legs[leg] = None\n",
        "            pass\n",
    ),
    Mutant(
        "no jitter",
        "net/resumption.py",
        "self._jitter = 1 + DELAY_JITTER_SHARE * (id_hash % 1024 / 1024 - 0.5)",
        "self._jitter = 1",
    ),
    Mutant(
        "closed clients are not forgotten",
        "net/clients.py",
        "        self.node.resumed.discard(self)\n",
        "",
    ),
    Mutant(
        "moves of the shutdown are held back",
        "net/node.py",
        "self.queue_action(leg.call.host_record.move, MOVE_ORDERED)\n\n",
        "self.move(leg.call)\n\n",
    ),
    Mutant(
        "the id of an ended call is refused",
        "net/node.py",
        "self.request_ids.is_taken(request_line.id_hash, resumes)",
        "self.request_ids.is_taken(request_line.id_hash, False)",
    ),
    Mutant(
        "a client line does not end the holding back of moves",
        "net/resumption.py",
        "self._may_precede(self.requested or self.client_line_seen, now, pending)",
        "self._may_precede(self.requested, now, pending)",
    ),
    Mutant(
        "a client line ends the wait for silent connections",
        "net/resumption.py",
        "return self._may_precede(self.requested, now, pending)",
        "return self._may_precede(self.requested or self.client_line_seen, now, pending)",
    ),
]


def run_tests(mutant):
    """Returns the tests that fail with a mutant; None if it does not apply."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for part in ("bellrack", "tests", "examples", "deploy"):
            shutil.copytree(ROOT / part, copy / part)
        shutil.copy(ROOT / "pyproject.toml", copy)
        file = copy / "bellrack" / mutant.file
        text = file.read_text()
        if text.count(mutant.old) != 1:
            return None
        file.write_text(text.replace(mutant.old, mutant.new))
        command = [sys.executable, "-m", "pytest", "-q", "--tb=line", "-p", "no:cacheprovider", *TESTS]
        result = subprocess.run(command, cwd=copy, capture_output=True, text=True)
        failed = re.findall(r"^FAILED tests/(\S+)", result.stdout, re.MULTILINE)
        return failed or (["the run itself"] if result.returncode else [])


def main():
    undetected = 0
    with ThreadPoolExecutor(MAX_PARALLEL) as pool:
        for mutant, failed in zip(MUTANTS, pool.map(run_tests, MUTANTS)):
            undetected += not failed
            outcome = "does not apply" if failed is None else f"{len(failed)} failed: {' '.join(failed[:2])}"
            print(f"{mutant.name}: {outcome}", flush=True)
    print(f"{len(MUTANTS)} mutants, {undetected} of them not detected")
    return undetected > 0


if __name__ == "__main__":
    sys.exit(main())
