"""The command of the soak: runs a seed, or a range of seeds, and prints what it found.

Usage: python -m bellrack.lab.soak --seed N [options] [--keep DIR] [--quiet | --json]
       python -m bellrack.lab.soak --seeds FIRST-LAST --results DIR [options] [--at-once N]
options: [--seconds S] [--balancers N] [--servers N] [--rate R] [--focus NAME]

Exits with 1 if anything was found, and with 2 and one line of error if the options are unusable.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import json
import sys
import tempfile
from collections import Counter
from pathlib import Path

from bellrack.lab.soak import deployment, driver, oracle, plan
from bellrack.lab.soak.campaign import Campaign, CampaignError


async def soak(drawn_plan: plan.Plan, folder: Path) -> tuple[list[str], dict[str, int]]:
    """Run a plan; return the findings, one line each, and counts of what was run."""
    soak_driver = driver.Driver(drawn_plan, folder)
    try:
        await soak_driver.start()
        outcomes = await soak_driver.run()
    finally:
        await soak_driver.stop()
    record = soak_driver.record(outcomes)
    found = [
        f"{violation.rule}: {violation.subject}: {violation.detail} "
        f"(t {violation.time - soak_driver.started_at:.3f})"
        for violation in oracle.find_violations(record)
    ]
    counts = Counter(f"answer {outcome.answer.split(' ')[0] or 'none'}" for outcome in outcomes)
    counts |= {
        f"mix {drawn_plan.mix}": 1,
        "pushed": int(drawn_plan.pushed),
        "quiet": int(drawn_plan.quiet[1] > 0),
    }
    counts["pauses of the clients"] = len(soak_driver.pauses)
    counts["ms of pauses of the clients"] = round(
        1000 * sum(until - since for since, until in soak_driver.pauses)
    )
    counts["processes"] = sum(len(balancer.logs) for balancer in soak_driver.balancers) + len(
        soak_driver.helpers
    )
    counts["attempts"] = sum(event["ev"] == "attempt" for event in record.events)
    counts |= Counter(f"trouble {kind}" for kind in soak_driver.troubles.injected)
    counts |= Counter(f"fault {fault['kind']}" for faults in drawn_plan.faults for fault in faults)
    return found + soak_driver.problems(), dict(sorted(counts.items()))


# Options that a range passes on to the run of each seed.
OPTIONS = ("seconds", "balancers", "servers", "rate", "focus")


def main() -> int:
    """Run the command and return its exit status."""
    arguments = parser().parse_args()
    try:
        return run_range(arguments) if arguments.seeds else run_one(arguments)
    except CampaignError as error:
        print(error, file=sys.stderr)
        return 2


def parser() -> argparse.ArgumentParser:
    """Return the parser of the command line."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    which = parser.add_mutually_exclusive_group(required=True)
    which.add_argument("--seed", type=int)
    which.add_argument("--seeds", type=seed_range, help="FIRST-LAST, inclusive")
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--balancers", type=int, default=6)
    parser.add_argument("--servers", type=int, default=9)
    parser.add_argument("--rate", type=float, default=60.0, help="requests a second over all balancers")
    parser.add_argument(
        "--focus", choices=list(plan.FOCUSES), default="all", help="the kinds of troubles to draw"
    )
    parser.add_argument("--keep", help="a new folder for events and logs")
    parser.add_argument(
        "--results", help="the folder of a range's results; seeds with a result are not run again"
    )
    parser.add_argument("--at-once", type=int, default=1, help="how many seeds of a range run at a time")
    how = parser.add_mutually_exclusive_group()
    how.add_argument("--quiet", action="store_true", help="print only counts by rule")
    how.add_argument("--json", action="store_true", help="print one JSON object")
    return parser


def seed_range(text: str) -> range:
    """Parse FIRST-LAST or one seed. Raises ValueError if the range is empty."""
    first, _, last = text.partition("-")
    seeds = range(int(first), int(last or first) + 1)
    if not seeds:
        raise ValueError(text)
    return seeds


def run_range(arguments: argparse.Namespace) -> int:
    """Run a range of seeds, print the summary and return the exit status."""
    if not arguments.results:
        raise CampaignError("--seeds needs a folder for --results")
    options = [word for name in OPTIONS for word in (f"--{name}", str(getattr(arguments, name)))]
    campaign = Campaign(arguments.seeds, options, Path(arguments.results))
    results = campaign.run(max(1, arguments.at_once))
    print((campaign.folder / "summary.txt").read_text(), end="")
    return 1 if any(result.found for result in results) else 0


def run_one(arguments: argparse.Namespace) -> int:
    """Run one seed, print what it found and return the exit status."""
    kinds, focus = list(deployment.EFFECTS), plan.FOCUSES[arguments.focus]
    drawn_plan = plan.draw(
        arguments.seed,
        arguments.seconds,
        arguments.balancers,
        arguments.servers,
        arguments.rate,
        kinds,
        focus,
    )
    with contextlib.ExitStack() as stack:
        folder = Path(arguments.keep or stack.enter_context(tempfile.TemporaryDirectory()))
        if arguments.keep and folder.exists() and (not folder.is_dir() or any(folder.iterdir())):
            raise CampaignError(f"{folder} exists and is not an empty folder")
        folder.mkdir(parents=True, exist_ok=True)
        found, counts = asyncio.run(soak(drawn_plan, folder))
    if arguments.json:
        print(json.dumps({"seed": arguments.seed, "found": found, "counts": counts}))
        return 1 if found else 0
    if arguments.quiet:
        found = [
            f"{count} {rule}" for rule, count in Counter(line.split(":")[0] for line in found).most_common()
        ]
    print(f"seed {arguments.seed}: {len(found)} found; {json.dumps(counts)}")
    for line in found:
        print(" ", line)
    return 1 if found else 0


if __name__ == "__main__":
    sys.exit(main())
