"""bellrack lab: runs scenarios of a deployment, on virtual time and on loopback sockets.

Usage:
  bellrack lab run FILE [--seed=N | --seeds=N] [--policy=NAME]... [--jobs=J] [--out=DIR] [--trace=FILE]
                        [--json=FILE] [--quiet]
  bellrack lab live FILE [--seed=N] [--json=FILE] [--trace=FILE] [--logs=DIR] [--quiet]
  bellrack lab compare FIRST SECOND [--json=FILE]
  bellrack lab sweep FILE SETTING [--seeds=N] [--policy=NAME] [--jobs=J] [--out=DIR] [--json=FILE] [--quiet]
  bellrack lab shrink FILE [--seed=N] [--policy=NAME] [--under=SERVICE] [--out=FILE] [--json=FILE] [--quiet]
  bellrack lab report DIR [--out=FILE] [--json=FILE]
  bellrack lab check FILE [--json=FILE]
  bellrack lab cold [--starts=N] [--seed=N] [--jobs=J] [--json=FILE] [--quiet]
  bellrack lab speed [--size=BxS]... [--length=S] [--profile] [--json=FILE]
  bellrack lab scale run FILE [--seed=N] [--json=FILE] [--report=FILE] [--quiet]
  bellrack lab scale sweep FILE --sizes=LIST [--seed=N] [--json=FILE] [--report=FILE] [--quiet]
  bellrack lab scale roles [ARGS...]
  bellrack lab (-h | --help)

Commands:
  run      Run a scenario on virtual time and check the four rules; print a row for each policy.
  live     Run it on real sockets: bellrack serve processes with stub servers, all on loopback.
  compare  Compare a second folder of results (FOLDER or FOLDER:POLICY) with the first.
  sweep    Run it with several values of a key: clients.rate=4,6,8 or choice.PACE_SHARE_PER_SECOND=0.3,0.5.
  shrink   Reduce a scenario that breaks a rule, or has a service under SERVICE, as long as it still does.
  report   Write an HTML page for a folder of results.
  check    Print the size of a scenario, and check that it can be run.
  cold     Run generated starts of cold servers with 3 to 200 balancers, and check rule 4.
  speed    Measure the speed of virtual-time runs on this machine, from 4 balancers with 8 servers to 500 with
           1,000.
  scale    Run hundreds to thousands of hollow balancers and measure the cost of each role of a tier: at one
           size (run), at several sizes with a fitted power law (sweep), or one role alone (roles).

Options:
  --seed=N         The seed of one run; by default that of the file.
  --seeds=N        Run with each of the seeds 1 to N.
  --policy=NAME    bellrack, random, round-robin, least-open, two-choices, bounded-hash, all-seeing; "all"
                   for all of them; or a file with another version of the decision module. [default: bellrack]
  --jobs=J         Number of parallel processes. [default: 1]
  --out=DIR        Folder for the results; an interrupted command continues from it.
  --trace=FILE     Write the event trace of one run.
  --under=SERVICE  Also count a run with a service below this as failed.
  --logs=DIR       Keep the logs of the balancers in this folder.
  --starts=N       Number of starts, generated from the seed (1 if not given). [default: 1000]
  --size=BxS       Number of balancers and servers, instead of the default sizes.
  --length=S       Virtual seconds to run for each size. [default: 20]
  --profile        Print the functions that take the most time.
  --sizes=LIST     Numbers of balancers, such as 50,200,800; servers in proportion.
  --report=FILE    Write an HTML page with plots.
  --json=FILE      Write the printed values in full as JSON; - for standard output.
  --quiet          Show no progress bar.
"""

from __future__ import annotations

import shutil
import sys
import tempfile
import tomllib
from pathlib import Path
from typing import Any

import tomli_w
from docopt import docopt

from bellrack.lab import cold, experiment, run
from bellrack.lab.baselines import POLICIES
from bellrack.lab.scenario import ScenarioError, balancer_names, read_scenario, server_names

MAX_FAILURES_SHOWN = 20  # starts with a failed server that are printed
# Columns of printed tables: key of the row, heading, format.
RUN_COLUMNS = (
    ("policy", "policy", "{}"),
    ("seeds", "seeds", "{}"),
    ("broken", "rules broken", "{}"),
    ("service", "service", "{:.3f}"),
    ("least", "least", "{:.3f}"),
    ("worst_window", "worst 10 s", "{:.3f}"),
    ("worst_type", "worst type", "{:.3f}"),
    ("worst_tenant", "worst tenant", "{:.3f}"),
    ("p50", "set-up p50", "{:.3f}"),
    ("p99", "p99", "{:.3f}"),
    ("crossings", "crossings", "{:.3f}"),
    ("moves", "moves", "{:.0f}"),
    ("store_calls", "store calls", "{:.0f}"),
    ("wasted", "wasted", "{:.3f}"),
    ("rejected", "rejected", "{:.0f}"),
    ("gave_up", "unanswered", "{:.0f}"),
    ("fell", "fell", "{:.1f}"),
)


def main(arguments: list[str]) -> int:
    """Run one command and return the exit code: 0, 1 if a rule was broken, 2 for invalid input, 130 if
    interrupted."""
    if arguments[:2] == ["scale", "roles"]:  # it parses options of its own
        from bellrack.lab.scale import roles

        return roles.main(arguments[2:])
    args = docopt(__doc__, argv=["lab", *arguments])
    try:
        if args["scale"]:
            return do_scale(args)
        for command in ("run", "live", "compare", "sweep", "shrink", "report", "check", "cold", "speed"):
            if args[command]:
                return globals()[f"do_{command}"](args)
    except (ScenarioError, OSError) as error:
        print(f"bellrack lab: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("bellrack lab: interrupted; finished results are kept", file=sys.stderr)
        return 130
    return 2


def number_option(args: dict[str, Any], option: str, minimum: float = 1, kind: type = int) -> Any:
    """Return an option as a number. Raises ScenarioError if it is not a number, or below `minimum`."""
    try:
        value = kind(args[option])
    except ValueError:
        raise ScenarioError(f"{option}: {args[option]!r} is no number") from None
    if value < minimum:
        raise ScenarioError(f"{option}: {value} is under {minimum}")
    return value


def validated_tables(path: str) -> dict[str, Any]:
    """Return the tables of a scenario file after validating it. Raises ScenarioError."""
    read_scenario(path)
    return tomllib.loads(Path(path).read_text(encoding="utf-8"))


def policies_of(args: dict[str, Any]) -> list[str]:
    """Return the policies that the arguments name, without duplicates."""
    names = args["--policy"] if isinstance(args["--policy"], list) else [args["--policy"]]
    return list(POLICIES) if "all" in names else list(dict.fromkeys(names))


def seeds_of(args: dict[str, Any], raw: dict[str, Any]) -> list[int]:
    """Return the seeds that the arguments ask for, by default that of the scenario."""
    if args["--seeds"]:
        return list(range(1, number_option(args, "--seeds") + 1))
    return [number_option(args, "--seed", 0) if args["--seed"] else raw.get("seed", 1)]


COLD_COLUMNS = (
    ("balancers", "balancers", "{}"),
    ("starts", "starts", "{}"),
    ("fell", "fell", "{}"),
    ("nearest", "nearest the limit", "{:.2f}"),
    ("mean_nearest", "mean", "{:.2f}"),
    ("filled", "set-ups by fill", "{:.2f}"),
)


def do_cold(args: dict[str, Any]) -> int:
    """Run generated starts of cold servers; print a row for each number of balancers, and the failures."""
    seed = number_option(args, "--seed", 0) if args["--seed"] else 1
    results = cold.play_all(
        cold.draw_starts(number_option(args, "--starts"), seed),
        number_option(args, "--jobs"),
        args["--quiet"],
    )
    rows, failed = cold.summarize_by_size(results), [result for result in results if result["fell"]]
    print_table(COLD_COLUMNS, rows, args)
    for result in failed[:MAX_FAILURES_SHOWN] if args["--json"] != "-" else ():
        print(
            f"fell: start {result['start']['seed']}, {result['start']['balancers']} balancers, "
            f"{result['window']} requests in a window, {result['nearest']:.2f} of the limit"
        )
    write_json(args, {"sizes": rows, "fell": failed})
    return 1 if failed else 0


def write_json(args: dict[str, Any], value: Any) -> None:
    """Write a value as JSON to the destination of --json, if that is given."""
    if args["--json"] == "-":
        sys.stdout.buffer.write(experiment.encode_result(value))
    elif args["--json"]:
        experiment.write_atomically(Path(args["--json"]).absolute(), experiment.encode_result(value))


def print_table(columns: Any, rows: list[dict[str, Any]], args: dict[str, Any]) -> None:
    """Print a table of plain text, unless JSON goes to standard output."""
    if args["--json"] == "-":
        return
    cells = [[heading for _, heading, _ in columns]]
    for row in rows:
        values = [row[key] for key, _, _ in columns]
        cells.append(
            [
                (
                    "-"
                    if value in (None, [])
                    else ",".join(value)
                    if isinstance(value, list)
                    else cell_format.format(value)
                )
                for value, (_, _, cell_format) in zip(values, columns)
            ]
        )
    widths = [max(len(line[column]) for line in cells) for column in range(len(columns))]
    for line in cells:
        print(
            "  ".join(
                cell.ljust(width) if column == 0 else cell.rjust(width)
                for column, (cell, width) in enumerate(zip(line, widths))
            ).rstrip()
        )


def do_run(args: dict[str, Any]) -> int:
    """Run a scenario on virtual time for each policy and seed, and print the results."""
    raw, policies = validated_tables(args["FILE"]), policies_of(args)
    seeds = seeds_of(args, raw)
    if args["--trace"]:
        if len(seeds) * len(policies) > 1:
            raise ScenarioError("--trace: of one run only")
        world = run.play(read_scenario(args["FILE"]), seeds[0], policies[0])
        world.trace.write(args["--trace"])
        results = [run.result_of(world, policies[0]) | {"digest": run.digest(raw)}]
    else:
        with folder_of(args) as folder:
            results = experiment.batch(
                raw, seeds, policies, folder, number_option(args, "--jobs"), None, args["--quiet"]
            )
    rows = experiment.summarize(results)
    print_table(RUN_COLUMNS, rows, args)
    failed = [result for result in results if not result["kept"]]
    for result in failed if args["--json"] != "-" else ():
        for rule, verdict in result["rules"].items():
            for first in verdict["first"][:1]:
                print(
                    f"rule {rule} broken {verdict['breaches']} times by {result['policy']}, seed "
                    f"{result['seed']}; first at {first['at']:.3f} s: {first['what']}"
                )
    write_json(args, {"figures": rows, "results": results})
    return int(any(result["policy"] == "bellrack" for result in failed))


class folder_of:
    """Context manager: the folder of --out, or else a temporary one that is deleted at the end."""

    def __init__(self, args: dict[str, Any]):
        self.out = args["--out"]

    def __enter__(self) -> Path:
        self.path = Path(self.out) if self.out else Path(tempfile.mkdtemp(prefix="bellrack-lab-"))
        return self.path

    def __exit__(self, *error: object) -> None:
        if not self.out:
            shutil.rmtree(self.path, ignore_errors=True)


def do_live(args: dict[str, Any]) -> int:
    """Run a scenario on loopback sockets and print the result."""
    from bellrack.lab import live

    scenario = read_scenario(args["FILE"])
    seed = number_option(args, "--seed", 0) if args["--seed"] else scenario.seed
    result = live.run(scenario, seed, trace=args["--trace"], logs=args["--logs"], quiet=args["--quiet"])
    print_table(RUN_COLUMNS, experiment.summarize([result]), args)
    write_json(args, result)
    return int(not result["kept"])


def results_at(location: str) -> list[dict[str, Any]]:
    """Return the results at FOLDER or FOLDER:POLICY. Raises ScenarioError if there are none."""
    folder, _, policy = location.partition(":")
    results = experiment.read_folder(Path(folder))
    found = [
        result for result in results if not policy or experiment.policy_label(result["policy"]) == policy
    ]
    if not found:
        raise ScenarioError(f"{location}: no results of {policy}")
    return found


def do_compare(args: dict[str, Any]) -> int:
    """Compare two sets of results and print a row for each metric."""
    rows = experiment.compare(results_at(args["FIRST"]), results_at(args["SECOND"]))
    print_table(
        (
            ("figure", "figure", "{}"),
            ("pairs", "pairs", "{}"),
            ("first", "first", "{:.4f}"),
            ("second", "second", "{:.4f}"),
            ("difference", "difference", "{:+.4f}"),
            ("low", "from", "{:+.4f}"),
            ("high", "to", "{:+.4f}"),
            ("verdict", "verdict", "{}"),
        ),
        rows,
        args,
    )
    write_json(args, rows)
    return 0


def do_sweep(args: dict[str, Any]) -> int:
    """Run a scenario with several values of a key and print a row for each."""
    raw = validated_tables(args["FILE"])
    key, equals, values = args["SETTING"].partition("=")
    if not equals or not values:
        raise ScenarioError(f"{args['SETTING']}: not of the form KEY=V1,V2,...")
    with folder_of(args) as folder:
        rows = experiment.sweep(
            raw,
            key,
            [experiment.value_of(value) for value in values.split(",")],
            seeds_of(args, raw),
            policies_of(args)[0],
            folder,
            number_option(args, "--jobs"),
            args["--quiet"],
        )
    print_table((("value", key, "{}"), *RUN_COLUMNS[1:]), rows, args)
    write_json(args, rows)
    return 0


def do_shrink(args: dict[str, Any]) -> int:
    """Reduce a failing scenario, and print it or write it to a file."""
    raw = validated_tables(args["FILE"])
    under = number_option(args, "--under", 0, float) if args["--under"] else None
    report_progress = (lambda text: None) if args["--quiet"] else (lambda text: print(text, file=sys.stderr))
    reduced = experiment.shrink(raw, seeds_of(args, raw)[0], policies_of(args)[0], under, report_progress)
    text = tomli_w.dumps(reduced)
    if args["--out"]:
        experiment.write_atomically(Path(args["--out"]).absolute(), text.encode())
    elif args["--json"] != "-":
        print(text, end="")
    write_json(args, reduced)
    return 0


def do_report(args: dict[str, Any]) -> int:
    """Write the HTML page of a folder of results."""
    from bellrack.lab import report

    results = experiment.read_folder(Path(args["DIR"]))
    path = Path(args["--out"] or Path(args["DIR"]) / "report.html")
    experiment.write_atomically(path.absolute(), report.page(results).encode())
    if args["--json"] != "-":
        print(path)
    write_json(args, experiment.summarize(results))
    return 0


def do_check(args: dict[str, Any]) -> int:
    """Print the size of a scenario, after checking that it can be run on virtual time."""
    scenario = read_scenario(args["FILE"])
    size = {
        "name": scenario.name,
        "balancers": len(balancer_names(scenario)),
        "servers": len(server_names(scenario)),
        "length": scenario.length,
        "troubles": len(scenario.trouble),
        "events": round(run.events_of(scenario)),
    }
    run.refuse_if_too_large(scenario)
    if args["--json"] != "-":
        print(f"{args['FILE']}: " + ", ".join(f"{key} {value}" for key, value in size.items()))
    write_json(args, size)
    return 0


def do_speed(args: dict[str, Any]) -> int:
    """Measure the speed of virtual-time runs and print a row for each size."""
    from bellrack.lab import speed

    sizes = []
    for text in args["--size"]:
        numbers = text.split("x")
        if len(numbers) != 2 or not all(part.isdigit() and int(part) >= 2 for part in numbers):
            raise ScenarioError(f"--size: {text!r} is not of the form 4x8, with 2 or more of each")
        sizes.append((int(numbers[0]), int(numbers[1])))
    rows = speed.measure_sizes(
        tuple(sizes) or speed.SIZES, number_option(args, "--length", 1, float), args["--profile"]
    )
    print_table(
        (
            ("balancers", "balancers", "{}"),
            ("servers", "servers", "{}"),
            ("standing", "standing", "{}"),
            ("calls", "calls", "{}"),
            ("events", "events", "{}"),
            ("seconds", "seconds", "{:.1f}"),
            ("of_virtual", "of virtual", "{:g}"),
            ("calls_a_second", "calls a second", "{:.0f}"),
            ("us_a_call", "us a call", "{:.0f}"),
            ("us_an_event", "us an event", "{:.0f}"),
            ("memory_mb", "MB", "{:.0f}"),
        ),
        rows,
        args,
    )
    for row in rows if args["--profile"] and args["--json"] != "-" else ():
        print(f"\n{row['balancers']} x {row['servers']}")
        for line in row["profile"]:
            print(f"  {line['share']:6.1%}  {line['function']}")
    write_json(args, rows)
    return 0


def do_scale(args: dict[str, Any]) -> int:
    """Run a scale plan at one size or at several, and print the costs."""
    from bellrack.lab.scale import run as scale
    from bellrack.lab.scale.plan import read_plan

    plan = read_plan(args["FILE"])
    seed = number_option(args, "--seed", 0) if args["--seed"] else plan.seed
    results: list[dict[str, Any]] = []
    try:
        if args["sweep"]:
            sizes = args["--sizes"].split(",")
            if not all(size.strip().isdigit() for size in sizes):
                raise ScenarioError(f"--sizes: {args['--sizes']!r} is not of the form 50,200,800")
            for result in scale.sweep(plan, [int(size) for size in sizes], seed, args["--quiet"]):
                results.append(result)
        else:
            results.append(scale.play(plan, seed, args["--quiet"]))
    finally:
        if results:  # finished results are shown even if a later run failed
            print_scale_results(results, args)
    return int(any(result["counts"]["tier"]["faults"] for result in results))


def print_scale_results(results: list[dict[str, Any]], args: dict[str, Any]) -> None:
    """Print the results of scale runs with the fitted power laws, and write the report and the JSON."""
    from bellrack.lab.scale import run as scale

    fits = scale.fits(results)
    print_table(scale.TABLE, [row for result in results for row in scale.table_rows(result)], args)
    if args["--json"] != "-":
        for line in scale.fit_lines(fits):
            print(line)
    if args["--report"]:
        from bellrack.lab.scale import report

        experiment.write_atomically(Path(args["--report"]).absolute(), report.page(results, fits).encode())
    write_json(args, {"results": results, "fits": fits} if args["sweep"] else results[0])
