"""Counts what happened in a recorded run, beyond what the bench's report shows.

Usage:
  tally TAP

Run as `python -m bellrack.simulator.tally TAP`. TAP is a file that the bench's `run` or `replay` wrote with
`--tap TAP`, with this same build.

The recorded batches are played to balancers that count. These take the same decisions as in the run; their
replies are dropped.
"""

from __future__ import annotations

import sys
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from docopt import docopt

from bellrack import chain, choice
from bellrack.model import Call, Leg, Server
from bellrack.simulator import wire
from bellrack.simulator.adapter import Adapter

SAMPLE_INTERVAL_SECONDS = 5.0  # between counts of the servers that hold each group
NO_BOUND = -1.0  # the bound recorded for a call of `has_room` without one, which is not counted


class RunCounts:
    """The counts over all balancers of the run."""

    def __init__(self) -> None:
        self.refused: Counter[str] = Counter()  # candidates without room, by reason
        self.calls: Counter[int] = Counter()  # legs by the balancer's zone
        self.crossed: Counter[int] = Counter()  # those to another zone
        self.marks = self.failures = 0  # times that a server became unhealthy; failed legs
        self.probes: Counter[tuple[Server, int]] = Counter()  # by id_hash and second
        self.cold: Counter[tuple[int, int]] = Counter()  # the same for cold servers
        self.loads: defaultdict[int, list[float]] = defaultdict(list)  # reported, by zone
        self.held: defaultdict[int, list[float]] = defaultdict(list)  # calls per core, by machine type
        self.spread: list[tuple[int, int, int]] = []  # second, groups by zone, their holders


class CountingSelection(choice.SelectionStage):
    """A selection stage that counts what it does in `counts`."""

    counts: RunCounts

    def has_room(self, server: Server, max_load: float = NO_BOUND) -> bool:
        if max_load == NO_BOUND:
            return super().has_room(server)
        found = super().has_room(server, max_load)
        if not found:
            reported = self.has_report(server) and server.local_state.reported_load >= max_load
            self.counts.refused[
                "load"
                if reported
                else "notice"
                if self.reported_overloaded(server)
                else "zone"
                if self.overloaded(server)
                else "ceiling"
            ] += 1
        return found

    def request_report(self, server: Server) -> None:
        before = server.local_state.probed_at
        super().request_report(server)
        if server.local_state.probed_at != before:
            self.counts.probes[server.id_hash, int(self.host.now)] += 1
            self.counts.cold[server.id_hash, int(self.host.now)] += server.local_state.warm_at > self.host.now

    def on_probe_result(self, server: Server, result: choice.Result) -> None:
        super().on_probe_result(server, result)
        if result.report and self.load_field is not None:
            self.counts.loads[server.zone].append(result.report[self.load_field])

    def record_failure(self, server: Server) -> None:
        was_healthy = self.healthy(server)
        super().record_failure(server)
        self.counts.failures += 1
        self.counts.marks += was_healthy and not self.healthy(server)

    def send(self, call: Call, server: Server) -> None:
        super().send(call, server)
        self.counts.calls[self.settings.zone] += 1
        self.counts.crossed[self.settings.zone] += server.zone != self.settings.zone


def counting(counts: RunCounts) -> type[choice.Balancer]:
    """Returns a class of balancers that count what they do in `counts`."""

    class Counting(choice.Balancer):
        def __init__(self, settings: choice.Settings, seed: int, host: choice.Host):
            super().__init__(settings, seed, host)
            self.selection = type("SelectionStage", (CountingSelection,), {"counts": counts})(self)
            chain.link(self.answer, self.listing, self.effect, self.zone, self.selection)

    return Counting


def batches(lines: Iterable[str]) -> Iterator[tuple[str, wire.Batch]]:
    """Yields each recorded batch with the name of its process; replies are left out."""
    for line in lines:
        if line.startswith(">>"):
            data = bytes.fromhex(next(iter(lines)).strip())
            number, clock, _, count = wire.HEADER.unpack(data[: wire.HEADER.size])
            yield line.split(",")[0], wire.Batch(number, clock, count, data[wire.HEADER.size :])


def legs(balancer: choice.Balancer) -> Iterator[Leg]:
    """Returns all established legs of the balancer."""
    return (leg for server in balancer.fleet for leg in server.local_state.established_legs)


def play(lines: Iterable[str]) -> RunCounts:
    """Plays the recorded batches and returns the counts. Raises WireError."""
    counts = RunCounts()
    hosts: defaultdict[str, Adapter] = defaultdict(lambda: Adapter(counting(counts)))
    start = sample_at = None
    nominal: dict[int, float] = {}
    for process, batch in batches(iter(lines)):
        hosts[process].answer(batch)
        now = batch.clock / 1e6
        for name, values in batch:
            for _, _, _, weight, _, machine, _ in wire.entries(values[1]) if name == "Pool" else ():
                nominal[machine] = max(weight, nominal.get(machine, 0.0))
                counts.held[machine].append(weight)
        if any(host.instances for host in hosts.values()) and (sample_at is None or now >= sample_at):
            start, sample_at = start or now, now + SAMPLE_INTERVAL_SECONDS
            groups = {
                (leg.call.group, leg.server.zone, leg.server.id_hash)
                for host in hosts.values()
                for one in host.instances.values()
                for leg in legs(one.balancer)
            }
            counts.spread.append((round(now - start), len({one[:2] for one in groups}), len(groups)))
    for machine, weights in counts.held.items():
        weights[:] = sorted(nominal[machine] / weight - 1 for weight in weights if weight)
    return counts


def report(counts: RunCounts) -> Iterator[str]:
    """Yields the lines of the report."""
    for zone, count in sorted(counts.calls.items()):
        loads = sorted(counts.loads[zone]) or [0.0]
        part = [f"{loads[len(loads) * tenth // 10]:.2f}" for tenth in (1, 5, 9)]
        yield (
            f"zone {zone}: {count} legs from it, {counts.crossed[zone] / count:.2f} of them to others; "
            f"its servers' load in {len(counts.loads[zone])} reports at a tenth, half, nine tenths: "
            f"{' '.join(part)}"
        )
    yield f"lots without room: {dict(counts.refused.most_common())}"
    yield f"failures {counts.failures}, marks {counts.marks}"
    yield (
        f"probes {sum(counts.probes.values())}; most in a second to one server "
        f"{max(counts.probes.values(), default=0)}, to a cold one {max(counts.cold.values(), default=0)}"
    )
    for machine, held in sorted(counts.held.items()):
        yield f"machine {machine}: calls a core {held[len(held) // 2]:.1f}, at most {held[-1]:.1f}"
    for second, groups, holders in counts.spread:
        yield f"second {second}: {groups} groups by zone, {holders / max(1, groups):.2f} servers each"


def main() -> int:
    """Prints the report. Returns 2 if the file cannot be read or played."""
    try:
        with open(docopt(__doc__)["TAP"], encoding="ascii") as lines:
            for line in report(play(lines)):
                print(line)
    except (OSError, ValueError, StopIteration, wire.WireError) as error:
        print(f"bellrack: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
