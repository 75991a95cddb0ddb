"""Mutants of the guards, played by hand on the soak: `python tests/play_soak_mutants.py [NAME...]`.

Each takes a guard out, or undoes a fix, in a copy of the program, and plays seeds of the soak there until the
oracle convicts it. What a process counts or logs against itself is not counted, and no invariant prevents a
write. Prints the seed after which each is convicted and by which rule. Exits with 1 if a mutant that is not
excused is convicted by no seed, or no longer applies. Takes some ten minutes on six cores.
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
AT_ONCE = 3  # copies that are played beside one another
SELF_REPORTED = re.compile(r"event=(fault|violation|loop)|a traceback")
NOT_PREVENTED = ("net/invariants.py", "        return not broken\n", "        return True\n")


@dataclass(frozen=True)
class Mutant:
    name: str
    edits: tuple[
        tuple[str, str, str], ...
    ]  # file below bellrack/, what stands there once, what takes its place
    focus: str
    rules: tuple[str, ...]  # any of these convicts it; others may come of a busy machine
    excuse: str = ""  # why no seed can convict it


MUTANTS = [
    Mutant(
        "a repeat is written after its window",
        (
            ("net/servers.py", "        if now >= self.leg.call.write_by:\n", "        if False:\n"),
            NOT_PREVENTED,
        ),
        "repeat",
        ("repeated_late",),
    ),
    Mutant(
        "a repeat's window is the decision's",
        (
            ("choice.py", "key_ttl - model.MAX_STALL_SECONDS - self.settings.tick", "key_ttl"),
            ("net/servers.py", "        if now >= self.leg.call.write_by:\n", "        if False:\n"),
            NOT_PREVENTED,
        ),
        "repeat",
        ("repeated_late",),
    ),
    Mutant(
        "a once-only request is repeated",
        (("choice.py", "            return -math.inf\n", "            return math.inf\n"), NOT_PREVENTED),
        "repeat",
        ("effect_twice", "false_refusal"),
    ),
    Mutant(
        "a drain heard while connecting is not heeded",
        (
            ("net/servers.py", "        if not self.leg.server.usable:\n", "        if False:\n"),
            NOT_PREVENTED,
        ),
        "drain",
        ("drain",),
    ),
    Mutant(
        "a drain is not heeded",
        (
            ("choice.py", "[s for s in self.fleet if s.usable]", "[s for s in self.fleet if not s.cordoned]"),
            ("net/servers.py", "        if not self.leg.server.usable:\n", "        if False:\n"),
            NOT_PREVENTED,
        ),
        "drain",
        ("drain",),
    ),
    Mutant(
        "an end that only the kernel knows is not asked for",
        (
            (
                "net/clients.py",
                "        if self.remote_closed():\n            self.abandon(model.CANCELLED)\n",
                "        return\n",
            ),
            NOT_PREVENTED,
        ),
        "leave",
        ("for_nobody",),
    ),
    Mutant(
        "a cold server is warm at once",
        (("choice.py", "state.warm_at = started_at + self.settings.ramp_time", "state.warm_at = 0.0"),),
        "cold",
        ("slow_start",),
    ),
    Mutant(
        "a start is believed by its stamp",
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
        "each process has a cold server's budget",
        (
            ("choice.py", "server.local_state.tokens_used += max(0, self.available_tokens(server))", "pass"),
            ("choice.py", "        self.suspended = on\n", "        self.suspended = False\n"),
        ),
        "cold",
        ("slow_start",),
    ),
    Mutant(
        "late set-ups to a cold server go out together",
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
        "a third process does not wait",
        (
            (
                "net/hot_restart.py",
                "                if self.node.clock() >= end:\n",
                "                if True:\n",
            ),
        ),
        "detach",
        ("detached",),
    ),
    Mutant(
        "what the sibling was told is not heeded",
        (("net/server_list.py", "        if listing.version > self.version:\n", "        if False:\n"),),
        "drain",
        ("drain",),
    ),
    Mutant(
        "the predecessor's orders replace ours",
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
        "SIGHUP ends a process that starts",
        (("start_signals.py", "signal.signal(number, record)", "signal.signal(number, signal.SIG_DFL)"),),
        "restart",
        ("crash",),
    ),
    Mutant(
        "a signal ends a process that has ended its work",
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
        "no error of the machine passes",
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
        "who waits in the listener at the end is not looked for",
        (("net/listeners.py", "            if not self.accept_waiting():\n", "            if False:\n"),),
        "restart",
        ("lost",),
    ),
    Mutant(
        "who is silent at the end of a shutdown is not answered",
        (("net/shutdown.py", "            self.answer_silent()\n", "            pass\n"),),
        "restart",
        ("lost", "half_request"),
    ),
    Mutant(
        "what stands at the end is not moved",
        (("net/shutdown.py", '            client.move("leaving")\n', "            pass\n"),),
        "restart",
        ("cut", "held"),
    ),
    Mutant(
        "a half request has its time anew from each process",
        (("net/handoff.py", '            if "opened" in message:\n', "            if False:\n"),),
        "restart",
        ("half_request",),
    ),
    Mutant(
        "a process that has ended runs its timers on",
        (("net/turns.py", "        self.stopped = True\n", "        self.stopped = False\n"),),
        "restart",
        ("for_nobody", "crash"),
    ),
    Mutant(
        "two messages of 1 MiB",
        (("net/sibling.py", "MAX_MESSAGE_BYTES = 1 << 24 ", "MAX_MESSAGE_BYTES = 1 << 20 "),),
        "restart",
        ("detached", "drain"),
    ),
]


def mutated(mutant, copy):
    """A copy of the program with the mutant in it; False if it does not apply."""
    for part in ("bellrack", "deploy"):
        shutil.copytree(ROOT / part, copy / part, ignore=shutil.ignore_patterns("__pycache__"))
    for name, old, new in mutant.edits:
        file = copy / "bellrack" / name
        text = file.read_text()
        if text.count(old) != 1:
            return False
        file.write_text(text.replace(old, new))
    return True


def convicted(mutant):
    """What is said of it: the seed and the rules that convict it, or that none does."""
    with tempfile.TemporaryDirectory() as folder:
        if not mutated(mutant, Path(folder)):
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
            ended = subprocess.run([*command, *OPTIONS], cwd=folder, capture_output=True, text=True)
            found = json.loads(ended.stdout)["found"]
            named = {line.split(":")[0] for line in found if not SELF_REPORTED.search(line)}
            rules = {name for name in named if name.endswith(mutant.rules)}
            if rules:
                return True, f"seed {seed}: {', '.join(sorted(rules))}"
    return bool(mutant.excuse), f"by none of {len(SEEDS)} seeds{': ' * bool(mutant.excuse)}{mutant.excuse}"


def main(names):
    chosen = [mutant for mutant in MUTANTS if not names or mutant.name in names]
    with ThreadPoolExecutor(AT_ONCE) as plays:
        results = list(plays.map(told, chosen))
    missed = results.count(False)
    print(f"{len(chosen)} mutants, {missed} neither convicted nor excused")
    return missed > 0


def told(mutant):
    well, text = convicted(mutant)
    print(f"{mutant.name} ({mutant.focus}): {text}", flush=True)
    return well


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
