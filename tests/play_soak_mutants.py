"""Mutation test of the soak, run by hand: `python tests/play_soak_mutants.py [NAME...]`.

Each mutant removes a check, or undoes a fix, in a copy of the program. The soak then runs there, seed by
seed, until the oracle detects the mutant. Faults that a process counts or logs about itself are not counted,
and invariants prevent no write. Prints the seed and the rule that detected each mutant. Exits with 1 if a
mutant without an excuse is not detected, or no longer applies. Takes some ten minutes on six cores.
"""

import json
import re
import shutil
import subprocess
import sys
import tempfile
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
SEEDS = range(601, 605)
OPTIONS = ("--seconds", "20", "--rate", "70", "--json")
# For the focus "handoff": hundreds of connections at each balancer.
STANDING_OPTIONS = ("--seconds", "20", "--rate", "60", "--balancers", "2", "--servers", "30", "--json")
CONCURRENCY = 3  # mutants that run at a time
# Findings that come from a balancer's own log.
SELF_REPORTED = re.compile(r"event=(fault|violation|loop)|a traceback")
# Without this edit, an invariant would prevent the wrong write that the oracle has to detect.
INVARIANTS_OFF = ("net/invariants.py", "        return not broken\n", "        return True\n")


@dataclass(frozen=True)
class Mutant:
    """A change of the program that the soak has to detect."""

    name: str
    # File below bellrack/, text that occurs in it once, replacement.
    edits: tuple[tuple[str, str, str], ...]
    focus: str  # of the soak
    rules: tuple[str, ...]  # any of these detects it; other findings may come from a busy machine
    excuse: str = ""  # why no seed can detect it
    options: tuple[str, ...] = ()  # of the soak, in place of OPTIONS


MUTANTS = [
    Mutant(
        "a repeat is written after its window has ended",
        (
            ("net/servers.py", "        if now >= self.leg.call.write_by:\n", "        if False:\n"),
            INVARIANTS_OFF,
        ),
        "repeat",
        ("repeated_late",),
    ),
    Mutant(
        "the window of a repeat leaves no time for stalls",
        (
            ("choice.py", "key_ttl - model.MAX_STALL_SECONDS - self.settings.tick", "key_ttl"),
            ("net/servers.py", "        if now >= self.leg.call.write_by:\n", "        if False:\n"),
            INVARIANTS_OFF,
        ),
        "repeat",
        ("repeated_late",),
    ),
    Mutant(
        "a once-only request is repeated",
        (("choice.py", "            return -math.inf\n", "            return math.inf\n"), INVARIANTS_OFF),
        "repeat",
        ("effect_twice", "false_refusal"),
    ),
    Mutant(
        "a drain that is learned while connecting is ignored",
        (
            ("net/servers.py", "        if not self.leg.server.usable:\n", "        if False:\n"),
            INVARIANTS_OFF,
        ),
        "drain",
        ("drain",),
    ),
    Mutant(
        "a drain is ignored",
        (
            ("choice.py", "[s for s in self.fleet if s.usable]", "[s for s in self.fleet if not s.cordoned]"),
            ("net/servers.py", "        if not self.leg.server.usable:\n", "        if False:\n"),
            INVARIANTS_OFF,
        ),
        "drain",
        ("drain",),
    ),
    Mutant(
        "a client's close that only the kernel knows is not checked",
        (
            (
                "net/clients.py",
                "        if self.remote_closed():\n            self.abandon(model.CANCELLED)\n",
                "        return\n",
            ),
            INVARIANTS_OFF,
        ),
        "leave",
        ("for_nobody",),
    ),
    Mutant(
        "a cold server counts as warm at once",
        (("choice.py", "state.warm_at = started_at + self.settings.ramp_time", "state.warm_at = 0.0"),),
        "cold",
        ("slow_start",),
    ),
    Mutant(
        "the reported start time of a server is trusted",
        (
            (
                "net/server_list.py",
                "start_times.latest_start(stamp, self.node.now, long_ago, newest)",
                "start_times.Start(stamp, min(stamp, self.node.now))",
            ),
        ),
        "cold",
        ("slow_start",),
    ),
    Mutant(
        "each process of a balancer has its own budget for a cold server",
        (
            ("choice.py", "server.local_state.tokens_used += max(0, self.available_tokens(server))", "pass"),
            ("choice.py", "        self.suspended = on\n", "        self.suspended = False\n"),
        ),
        "cold",
        ("slow_start",),
    ),
    Mutant(
        "delayed requests to a cold server are written together",
        (
            (
                "net/servers.py",
                "        if not slow_start.may_write(self.leg.server):\n",
                "        if False:\n",
            ),
        ),
        "cold",
        ("slow_start",),
    ),
    Mutant(
        "a third process does not wait for the first",
        (
            (
                "net/hot_restart.py",
                "                if self.node.clock() >= end:\n",
                "                if True:\n",
            ),
            ("net/hot_restart.py", "                await self.on_busy(error)\n", ""),
        ),
        "detach",
        ("detached",),
    ),
    Mutant(
        "a process that waits for its turn confirms orders that the serving one does not have",
        (
            ("net/order_relay.py", "        self.is_open = True ", "        self.is_open = False "),
            (
                "net/hot_restart.py",
                "            await self.order_relay.exchange(error.channel)\n",
                "            pass\n",
            ),
        ),
        "waiting",
        ("detached",),
    ),
    Mutant(
        "a newer list of the sibling process is ignored",
        (
            (
                "net/server_list.py",
                "        if not supersedes(self.versions.watched, version):\n",
                "        if False:\n",
            ),
        ),
        "drain",
        ("drain",),
    ),
    Mutant(
        "orders of the predecessor replace newer ones",
        (
            (
                "net/server_list.py",
                "        if held and not supersedes(order.version, held.version):\n            return\n",
                "",
            ),
            (
                "net/shared_state.py",
                "        if order != known_orders.get(order.name):\n",
                "        if False:\n",
            ),
        ),
        "detach",
        ("detached",),
    ),
    Mutant(
        "SIGHUP ends a process that is starting",
        (("start_signals.py", "signal.signal(number, record)", "signal.signal(number, signal.SIG_DFL)"),),
        "restart",
        ("crash",),
    ),
    Mutant(
        "a signal ends a process that has finished its shutdown",
        (
            (
                "start_signals.py",
                "    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)\n",
                "    pass\n",
            ),
        ),
        "signals",
        ("crash",),
    ),
    Mutant(
        "no error of the operating system is transient",
        (
            (
                "net/transient.py",
                "    return error.errno in LOCAL_ERRNOS or error.errno in DISK_ERRNOS\n",
                "    return False\n",
            ),
        ),
        "restart",
        ("crash", "refused start"),
    ),
    Mutant(
        "connections in the backlog are not accepted at shutdown",
        (("net/listeners.py", "            if not self.accept_waiting():\n", "            if False:\n"),),
        "restart",
        ("lost",),
    ),
    Mutant(
        "silent clients are not answered at the end of a shutdown",
        (("net/shutdown.py", "            self.answer_silent()\n", "            pass\n"),),
        "restart",
        ("lost", "half_request"),
    ),
    Mutant(
        "established connections are not moved at shutdown",
        (("net/shutdown.py", '            client.move("leaving")\n', "            pass\n"),),
        "restart",
        ("cut", "held"),
    ),
    Mutant(
        "each process restarts the time limit of a partial request",
        (("net/handoff_receiver.py", "        if message.opened is not None:\n", "        if False:\n"),),
        "restart",
        ("half_request",),
    ),
    Mutant(
        "what is ordered of a connection before it has its sockets is dropped",
        (
            ("net/connection.py", "            self.unsent += data\n", "            pass\n"),
            (
                "net/connection.py",
                'if it was closed before."""\n        self.close_transport()\n',
                'if it was closed before."""\n        self.side == "client" or self.close_transport()\n',
            ),
        ),
        "handoff",
        ("left_waiting", "silent"),
        options=STANDING_OPTIONS,
    ),
    Mutant(
        "an announced end stays with the predecessor",
        (
            (
                "net/handoff_receiver.py",
                "            connection.announce_end(end.result, ends_by)\n",
                "            connection.announced_end = end.result\n",
            ),
        ),
        "handoff",
        ("left_waiting",),
        options=STANDING_OPTIONS,
    ),
    Mutant(
        "a process that has stopped still runs its timers",
        (("net/turns.py", "        self.stopped = True\n", "        self.stopped = False\n"),),
        "restart",
        ("for_nobody", "crash"),
    ),
    Mutant(
        "messages between processes are limited to 1 MiB",
        (("net/sibling.py", "MAX_MESSAGE_BYTES = 1 << 24 ", "MAX_MESSAGE_BYTES = 1 << 20 "),),
        "restart",
        ("detached", "drain"),
    ),
]


def apply_mutant(mutant, copy):
    """Copy the program to `copy` and apply the mutant; return False if its edits do not apply."""
    for part in ("bellrack", "deploy"):
        shutil.copytree(ROOT / part, copy / part, ignore=shutil.ignore_patterns("__pycache__"))
    for name, old, new in mutant.edits:
        file = copy / "bellrack" / name
        text = file.read_text()
        if text.count(old) != 1:
            return False
        file.write_text(text.replace(old, new))
    return True


def detect(mutant):
    """Return whether the mutant is detected or excused, and a text with the seed and the rules."""
    with tempfile.TemporaryDirectory() as folder:
        if not apply_mutant(mutant, Path(folder)):
            return False, "does not apply"
        for seed in SEEDS:
            command = [
                sys.executable,
                "-m",
                "bellrack.lab.soak",
                "--seed",
                str(seed),
                "--focus",
                mutant.focus,
            ]
            process = subprocess.run(
                [*command, *(mutant.options or OPTIONS)], cwd=folder, capture_output=True, text=True
            )
            found = json.loads(process.stdout)["found"]
            reported = {line.split(":")[0] for line in found if not SELF_REPORTED.search(line)}
            rules = {name for name in reported if name.endswith(mutant.rules)}
            if rules:
                return True, f"seed {seed}: {', '.join(sorted(rules))}"
    return bool(
        mutant.excuse
    ), f"not detected by {len(SEEDS)} seeds{': ' * bool(mutant.excuse)}{mutant.excuse}"


def main(names):
    """Run the named mutants, or all of them, and return the exit status."""
    chosen = [mutant for mutant in MUTANTS if not names or mutant.name in names]
    with ThreadPoolExecutor(CONCURRENCY) as executor:
        results = list(executor.map(run_and_print, chosen))
    missed = results.count(False)
    print(f"{len(chosen)} mutants, {missed} neither detected nor excused")
    return missed > 0


def run_and_print(mutant):
    """Print the result of a mutant and return whether it is detected or excused."""
    passed, text = detect(mutant)
    print(f"{mutant.name} ({mutant.focus}): {text}", flush=True)
    return passed


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
