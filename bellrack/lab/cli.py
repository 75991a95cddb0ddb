"""bellrack lab: plays scenarios of a deployment, on virtual time and on loopback.

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
  run      Play a scenario on virtual time and judge the four rules; a row a policy.
  live     Play it on real sockets: bellrack serve processes before stand-in servers, all on loopback.
  compare  Say whether the second folder of results (FOLDER or FOLDER:POLICY) differs from the first.
  sweep    Play it with several values of a key: clients.rate=4,6,8 or choice.PACE_SHARE_PER_SECOND=0.3,0.5.
  shrink   Cut a scenario that breaks a rule, or serves less than asked, to the least that still does.
  report   Make one HTML page of a folder of results.
  check    Say what a scenario asks for, and whether it can be played.
  cold     Play generated starts of cold servers before 3 to 200 balancers, and count against rule 4.
  speed    Measure the virtual face on this machine, from 4 balancers before 8 servers to 500 before 1,000.
  scale    Hollow balancers, hundreds to thousands: what each role of a tier costs at a size (run), at several
           with a power law through them (sweep), or one role alone (roles).

Options:
  --seed=N         The seed of one run; the file's own if not given.
  --seeds=N        So many runs, of seeds 1 to N.
  --policy=NAME    bellrack, random, round-robin, least-open, two-choices, bounded-hash, all-seeing; "all"
                   for all of them; or a file that holds another build of the decisions. [default: bellrack]
  --jobs=J         Processes at once. [default: 1]
  --out=DIR        Where results are kept, and found again when a run was interrupted.
  --trace=FILE     Write the event trace of one run.
  --under=SERVICE  What counts as failing, beside a broken rule.
  --logs=DIR       Keep what the balancers log.
  --starts=N       So many starts, drawn from the seed (1 if not given). [default: 1000]
  --size=BxS       Balancers by servers, in place of the usual sizes.
  --length=S       Virtual seconds of each size. [default: 20]
  --profile        Show where the time goes.
  --sizes=LIST     Balancers, as 50,200,800; servers in proportion.
  --report=FILE    Write a page with plots.
  --json=FILE      Write what is printed, with all figures, as JSON; - for standard output.
  --quiet          No progress bar.
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

SHOWN = 20  # starts with a fall that are named
TABLE = (
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
    """Run one command; the exit code: 0, 1 if a rule was broken, 2 for what cannot be done."""
    if arguments[:2] == ["scale", "roles"]:  # whose options are its own
        from bellrack.lab.scale import roles

        return roles.main(arguments[2:])
    args = docopt(__doc__, argv=["lab", *arguments])
    try:
        if args["scale"]:
            return do_scale(args)
        for verb in ("run", "live", "compare", "sweep", "shrink", "report", "check", "cold", "speed"):
            if args[verb]:
                return globals()[f"do_{verb}"](args)
    except (ScenarioError, OSError) as error:
        print(f"bellrack lab: {error}", file=sys.stderr)
        return 2
    except KeyboardInterrupt:
        print("bellrack lab: interrupted; results that are done are kept", file=sys.stderr)
        return 130
    return 2


def number(args: dict[str, Any], option: str, least: float = 1, kind: type = int) -> Any:
    try:
        value = kind(args[option])
    except ValueError:
        raise ScenarioError(f"{option}: {args[option]!r} is no number") from None
    if value < least:
        raise ScenarioError(f"{option}: {value} is under {least}")
    return value


def tables(path: str) -> dict[str, Any]:
    """The file's tables, once its whole has been checked."""
    read_scenario(path)
    return tomllib.loads(Path(path).read_text(encoding="utf-8"))


def chosen(args: dict[str, Any]) -> list[str]:
    names = args["--policy"] if isinstance(args["--policy"], list) else [args["--policy"]]
    return list(POLICIES) if "all" in names else list(dict.fromkeys(names))


def seeds_of(args: dict[str, Any], raw: dict[str, Any]) -> list[int]:
    if args["--seeds"]:
        return list(range(1, number(args, "--seeds") + 1))
    return [number(args, "--seed", 0) if args["--seed"] else raw.get("seed", 1)]


COLD = (
    ("balancers", "balancers", "{}"),
    ("starts", "starts", "{}"),
    ("fell", "fell", "{}"),
    ("nearest", "nearest the limit", "{:.2f}"),
    ("mean_nearest", "mean", "{:.2f}"),
    ("filled", "set-ups by fill", "{:.2f}"),
)


def do_cold(args: dict[str, Any]) -> int:
    seed = number(args, "--seed", 0) if args["--seed"] else 1
    results = cold.play_all(
        cold.draw_starts(number(args, "--starts"), seed), number(args, "--jobs"), args["--quiet"]
    )
    rows, fallen = cold.summarize_by_size(results), [one for one in results if one["fell"]]
    show(COLD, rows, args)
    for one in fallen[:SHOWN] if args["--json"] != "-" else ():
        print(
            f"fell: start {one['start']['seed']}, {one['start']['balancers']} balancers, "
            f"{one['window']} requests in a window, {one['nearest']:.2f} of the limit"
        )
    put(args, {"sizes": rows, "fell": fallen})
    return 1 if fallen else 0


def put(args: dict[str, Any], value: Any) -> None:
    if args["--json"] == "-":
        sys.stdout.buffer.write(experiment.encoded(value))
    elif args["--json"]:
        experiment.write_whole(Path(args["--json"]).absolute(), experiment.encoded(value))


def show(columns: Any, rows: list[dict[str, Any]], args: dict[str, Any]) -> None:
    """A table of plain text, unless JSON goes to standard output."""
    if args["--json"] == "-":
        return
    cells = [[head for _, head, _ in columns]]
    for row in rows:
        values = [row[key] for key, _, _ in columns]
        cells.append(
            [
                (
                    "-"
                    if value in (None, [])
                    else ",".join(value)
                    if isinstance(value, list)
                    else form.format(value)
                )
                for value, (_, _, form) in zip(values, columns)
            ]
        )
    widths = [max(len(line[at]) for line in cells) for at in range(len(columns))]
    for line in cells:
        print(
            "  ".join(
                cell.ljust(width) if at == 0 else cell.rjust(width)
                for at, (cell, width) in enumerate(zip(line, widths))
            ).rstrip()
        )


def do_run(args: dict[str, Any]) -> int:
    raw, policies = tables(args["FILE"]), chosen(args)
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
                raw, seeds, policies, folder, number(args, "--jobs"), None, args["--quiet"]
            )
    rows = experiment.figures(results)
    show(TABLE, rows, args)
    told = [result for result in results if not result["kept"]]
    for result in told if args["--json"] != "-" else ():
        for rule, verdict in result["rules"].items():
            for first in verdict["first"][:1]:
                print(
                    f"rule {rule} broken {verdict['breaches']} times by {result['policy']}, seed "
                    f"{result['seed']}; first at {first['at']:.3f} s: {first['what']}"
                )
    put(args, {"figures": rows, "results": results})
    return int(any(result["policy"] == "bellrack" for result in told))


class folder_of:
    """The folder that was named, or one that goes when its results have been read."""

    def __init__(self, args: dict[str, Any]):
        self.named = args["--out"]

    def __enter__(self) -> Path:
        self.path = Path(self.named) if self.named else Path(tempfile.mkdtemp(prefix="bellrack-lab-"))
        return self.path

    def __exit__(self, *error: object) -> None:
        if not self.named:
            shutil.rmtree(self.path, ignore_errors=True)


def do_live(args: dict[str, Any]) -> int:
    from bellrack.lab import live

    scenario = read_scenario(args["FILE"])
    seed = number(args, "--seed", 0) if args["--seed"] else scenario.seed
    result = live.run(scenario, seed, trace=args["--trace"], logs=args["--logs"], quiet=args["--quiet"])
    show(TABLE, experiment.figures([result]), args)
    put(args, result)
    return int(not result["kept"])


def results_at(place: str) -> list[dict[str, Any]]:
    folder, _, policy = place.partition(":")
    results = experiment.read_folder(Path(folder))
    found = [result for result in results if not policy or experiment.named(result["policy"]) == policy]
    if not found:
        raise ScenarioError(f"{place}: no results of {policy}")
    return found


def do_compare(args: dict[str, Any]) -> int:
    rows = experiment.compare(results_at(args["FIRST"]), results_at(args["SECOND"]))
    show(
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
    put(args, rows)
    return 0


def do_sweep(args: dict[str, Any]) -> int:
    raw = tables(args["FILE"])
    key, equals, values = args["SETTING"].partition("=")
    if not equals or not values:
        raise ScenarioError(f"{args['SETTING']}: not of the form KEY=V1,V2,...")
    with folder_of(args) as folder:
        rows = experiment.sweep(
            raw,
            key,
            [experiment.value_of(value) for value in values.split(",")],
            seeds_of(args, raw),
            chosen(args)[0],
            folder,
            number(args, "--jobs"),
            args["--quiet"],
        )
    show((("value", key, "{}"), *TABLE[1:]), rows, args)
    put(args, rows)
    return 0


def do_shrink(args: dict[str, Any]) -> int:
    raw = tables(args["FILE"])
    under = number(args, "--under", 0, float) if args["--under"] else None
    tell = (lambda text: None) if args["--quiet"] else (lambda text: print(text, file=sys.stderr))
    least = experiment.shrink(raw, seeds_of(args, raw)[0], chosen(args)[0], under, tell)
    text = tomli_w.dumps(least)
    if args["--out"]:
        experiment.write_whole(Path(args["--out"]).absolute(), text.encode())
    elif args["--json"] != "-":
        print(text, end="")
    put(args, least)
    return 0


def do_report(args: dict[str, Any]) -> int:
    from bellrack.lab import report

    results = experiment.read_folder(Path(args["DIR"]))
    place = Path(args["--out"] or Path(args["DIR"]) / "report.html")
    experiment.write_whole(place.absolute(), report.page(results).encode())
    if args["--json"] != "-":
        print(place)
    put(args, experiment.figures(results))
    return 0


def do_check(args: dict[str, Any]) -> int:
    scenario = read_scenario(args["FILE"])
    asks = {
        "name": scenario.name,
        "balancers": len(balancer_names(scenario)),
        "servers": len(server_names(scenario)),
        "length": scenario.length,
        "troubles": len(scenario.trouble),
        "events": round(run.events_of(scenario)),
    }
    run.refuse_if_too_large(scenario)
    if args["--json"] != "-":
        print(f"{args['FILE']}: " + ", ".join(f"{key} {value}" for key, value in asks.items()))
    put(args, asks)
    return 0


def do_speed(args: dict[str, Any]) -> int:
    from bellrack.lab import speed

    sizes = []
    for text in args["--size"]:
        both = text.split("x")
        if len(both) != 2 or not all(part.isdigit() and int(part) >= 2 for part in both):
            raise ScenarioError(f"--size: {text!r} is not of the form 4x8, with 2 or more of each")
        sizes.append((int(both[0]), int(both[1])))
    rows = speed.measure_sizes(
        tuple(sizes) or speed.SIZES, number(args, "--length", 1, float), args["--profile"]
    )
    show(
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
    put(args, rows)
    return 0


def do_scale(args: dict[str, Any]) -> int:
    from bellrack.lab.scale import run as scale
    from bellrack.lab.scale.plan import read_plan

    plan = read_plan(args["FILE"])
    seed = number(args, "--seed", 0) if args["--seed"] else plan.seed
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
        if results:  # those that are done, whatever became of the others
            show_scale(results, args)
    return int(any(result["counts"]["tier"]["faults"] for result in results))


def show_scale(results: list[dict[str, Any]], args: dict[str, Any]) -> None:
    from bellrack.lab.scale import run as scale

    fits = scale.fits(results)
    show(scale.TABLE, [row for result in results for row in scale.table_rows(result)], args)
    if args["--json"] != "-":
        for line in scale.fit_lines(fits):
            print(line)
    if args["--report"]:
        from bellrack.lab.scale import report

        experiment.write_whole(Path(args["--report"]).absolute(), report.page(results, fits).encode())
    put(args, {"results": results, "fits": fits} if args["sweep"] else results[0])
