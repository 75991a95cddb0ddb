"""Measures what each role of a balancer costs by itself, at several sizes, and fits how the cost grows.

Usage:
  bellrack lab scale roles [--role=NAME]... [--json=FILE] [--quick]
  bellrack lab scale roles (-h | --help)

Options:
  --role=NAME  Measure only this role; may be repeated: data-path, discovery-client, discovery-service,
               decisions, timers, state, aggregator, placements, configuration, shutdown, start.
  --json=FILE  Write sizes, values and fits as JSON; - for standard output, in place of the tables.
  --quick      Use small sizes and few repeats, as a check that the command runs; its results mean nothing.

docs/CAPACITY.md is based on these measurements. Processor time is the minimum of several repeats. Memory is
either allocated bytes (tracemalloc) or resident bytes. Bytes and records are counted and are exactly the same
in each run. This module does not simulate a whole deployment, compare results with a budget, or measure
wall-clock time.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from pathlib import Path

from docopt import docopt

from bellrack.lab.scale import stubs
from bellrack.lab.scale.roles.aggregator import aggregator
from bellrack.lab.scale.roles.configuration import configuration
from bellrack.lab.scale.roles.data_path import data_path
from bellrack.lab.scale.roles.decisions import decisions
from bellrack.lab.scale.roles.discovery import discovery_client, discovery_service
from bellrack.lab.scale.roles.measurement import Measurement
from bellrack.lab.scale.roles.placements import placements
from bellrack.lab.scale.roles.report import as_json, as_text, commit_id
from bellrack.lab.scale.roles.shutdown import shutdown
from bellrack.lab.scale.roles.start import start
from bellrack.lab.scale.roles.state import state
from bellrack.lab.scale.roles.timers import timers

ROLES: dict[str, Callable[[bool], Iterator[Measurement]]] = {
    "data-path": data_path,
    "discovery-client": discovery_client,
    "discovery-service": discovery_service,
    "decisions": decisions,
    "timers": timers,
    "state": state,
    "aggregator": aggregator,
    "placements": placements,
    "configuration": configuration,
    "shutdown": shutdown,
    "start": start,
}


def main(argv: list[str]) -> int:
    """Runs the command with the arguments after `roles`.

    Returns the exit code: 0, or 2 if a role is unknown or could not be measured.
    """
    args = docopt(__doc__, argv=["lab", "scale", "roles", *argv])
    names = args["--role"] or list(ROLES)
    if unknown := [name for name in names if name not in ROLES]:
        print(
            f"bellrack lab scale roles: no role {unknown[0]!r}; the roles are {', '.join(ROLES)}",
            file=sys.stderr,
        )
        return 2
    report = {
        "build": commit_id(),
        "date": datetime.now(UTC).strftime("%Y-%m-%d"),
        "quick": bool(args["--quick"]),
        "figures": [],
        "not measured": [],
    }
    for name in names:
        try:
            for result in ROLES[name](bool(args["--quick"])):
                report["figures"].append(as_json(result))
                if args["--json"] != "-":
                    print(as_text(result), flush=True)
        except (stubs.ScaleError, OSError) as error:
            report["not measured"].append({"role": name, "why": str(error)})
            print(f"{name}: not measured: {error}", file=sys.stderr)
    text = json.dumps(report, indent=1)
    if args["--json"] == "-":
        print(text)
    elif args["--json"]:
        Path(args["--json"]).write_text(text + "\n", encoding="utf-8")
    return 2 if report["not measured"] else 0
