"""Counts of a recorded run that the bench's report does not have.

Usage:
  tally TAP

Started as `python -m bellrack.simulator.tally TAP`. TAP is what the bench's `run` or `replay` wrote with
`--tap TAP`, with this very build at work.

Owns the playing of the recorded batches to balancers that are watched. It never decides: those take each
decision as in the run, and what they say is dropped.
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

EACH = 5.0  # seconds between looks at where groups stand
FROM_PICK = -1.0  # a bound that no lot has


class Seen:
    """What is counted, over all balancers of the run."""

    def __init__(self) -> None:
        self.refused: Counter[str] = Counter()  # lots without room, by what closed them
        self.calls: Counter[int] = Counter()  # legs by the balancer's zone
        self.crossed: Counter[int] = Counter()
        self.marks = self.failures = 0
        self.probes: Counter[tuple[Server, int]] = Counter()  # by mark and second
        self.cold: Counter[tuple[int, int]] = Counter()  # the same of cold servers
        self.loads: defaultdict[int, list[float]] = defaultdict(list)  # as reported, by zone
        self.held: defaultdict[int, list[float]] = defaultdict(list)  # calls a core, by machine
        self.spread: list[tuple[int, int, int]] = []  # second, groups by zone, servers that hold them


class WatchedDraw(choice.SelectionStage):
    seen: Seen

    def has_room(self, server: Server, full: float = FROM_PICK) -> bool:
        if full == FROM_PICK:
            return super().has_room(server)
        found = super().has_room(server, full)
        if not found:
            reported = self.has_report(server) and server.local_state.reported_load >= full
            self.seen.refused[
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
            self.seen.probes[server.id_hash, int(self.host.now)] += 1
            self.seen.cold[server.id_hash, int(self.host.now)] += server.local_state.warm_at > self.host.now

    def on_probe_result(self, server: Server, result: choice.Result) -> None:
        super().on_probe_result(server, result)
        if result.report and self.load_field is not None:
            self.seen.loads[server.zone].append(result.report[self.load_field])

    def record_failure(self, server: Server) -> None:
        was = self.healthy(server)
        super().record_failure(server)
        self.seen.failures += 1
        self.seen.marks += was and not self.healthy(server)

    def send(self, call: Call, server: Server) -> None:
        super().send(call, server)
        self.seen.calls[self.settings.zone] += 1
        self.seen.crossed[self.settings.zone] += server.zone != self.settings.zone


def watched(seen: Seen) -> type[choice.Balancer]:
    class Watched(choice.Balancer):
        def __init__(self, settings: choice.Settings, seed: int, host: choice.Host):
            super().__init__(settings, seed, host)
            self.selection = type("SelectionStage", (WatchedDraw,), {"seen": seen})(self)
            chain.link(self.answer, self.listing, self.effect, self.zone, self.selection)

    return Watched


def batches(lines: Iterable[str]) -> Iterator[tuple[str, wire.Batch]]:
    """Each recorded batch with its process; replies are left out."""
    for line in lines:
        if line.startswith(">>"):
            data = bytes.fromhex(next(iter(lines)).strip())
            number, clock, _, count = wire.HEADER.unpack(data[: wire.HEADER.size])
            yield line.split(",")[0], wire.Batch(number, clock, count, data[wire.HEADER.size :])


def legs(balancer: choice.Balancer) -> Iterator[Leg]:
    return (leg for server in balancer.fleet for leg in server.local_state.established_legs)


def play(lines: Iterable[str]) -> Seen:
    seen = Seen()
    hosts: defaultdict[str, Adapter] = defaultdict(lambda: Adapter(watched(seen)))
    start = look = None
    nominal: dict[int, float] = {}
    for process, batch in batches(iter(lines)):
        hosts[process].answer(batch)
        now = batch.clock / 1e6
        for name, values in batch:
            for _, _, _, weight, _, machine, _ in wire.entries(values[1]) if name == "Pool" else ():
                nominal[machine] = max(weight, nominal.get(machine, 0.0))
                seen.held[machine].append(weight)
        if any(host.instances for host in hosts.values()) and (look is None or now >= look):
            start, look = start or now, now + EACH
            groups = {
                (leg.call.group, leg.server.zone, leg.server.id_hash)
                for host in hosts.values()
                for one in host.instances.values()
                for leg in legs(one.balancer)
            }
            seen.spread.append((round(now - start), len({one[:2] for one in groups}), len(groups)))
    for machine, weights in seen.held.items():
        weights[:] = sorted(nominal[machine] / weight - 1 for weight in weights if weight)
    return seen


def told(seen: Seen) -> Iterator[str]:
    for zone, count in sorted(seen.calls.items()):
        loads = sorted(seen.loads[zone]) or [0.0]
        part = [f"{loads[len(loads) * tenth // 10]:.2f}" for tenth in (1, 5, 9)]
        yield (
            f"zone {zone}: {count} legs from it, {seen.crossed[zone] / count:.2f} of them to others; "
            f"its servers' load in {len(seen.loads[zone])} reports at a tenth, half, nine tenths: "
            f"{' '.join(part)}"
        )
    yield f"lots without room: {dict(seen.refused.most_common())}"
    yield f"failures {seen.failures}, marks {seen.marks}"
    yield (
        f"probes {sum(seen.probes.values())}; most in a second to one server "
        f"{max(seen.probes.values(), default=0)}, to a cold one {max(seen.cold.values(), default=0)}"
    )
    for machine, held in sorted(seen.held.items()):
        yield f"machine {machine}: calls a core {held[len(held) // 2]:.1f}, at most {held[-1]:.1f}"
    for second, groups, holders in seen.spread:
        yield f"second {second}: {groups} groups by zone, {holders / max(1, groups):.2f} servers each"


def main() -> int:
    try:
        with open(docopt(__doc__)["TAP"], encoding="ascii") as lines:
            for line in told(play(lines)):
                print(line)
    except (OSError, ValueError, StopIteration, wire.WireError) as error:
        print(f"bellrack: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
