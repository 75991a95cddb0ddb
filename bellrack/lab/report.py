"""The HTML report of a folder of results, with tables and plots in one file.

The page is generated from results alone, loads no other resource and contains no script. The same results
always give the same page.
"""

from __future__ import annotations

import html
import io
from typing import Any

import matplotlib

matplotlib.use("svg")
matplotlib.rcParams["svg.hashsalt"] = "bellrack"  # otherwise the ids in the SVG change with every run
matplotlib.rcParams["font.size"] = 9

from matplotlib import pyplot  # noqa: E402 - the backend must be selected first

from bellrack.lab import experiment  # noqa: E402

MAX_SERVER_LINES = 12  # in the plot of open connections; with more servers, quantiles are plotted
ANSWERS = ("completed", "rejected", "released", "unanswered")
COLOURS = ("#3a7d44", "#c98a1b", "#a63d40", "#555555")
STYLE = """body { font: 15px/1.5 sans-serif; max-width: 62em; margin: 2em auto; padding: 0 1em; color: #222; }
table { border-collapse: collapse; margin: 1em 0; font-size: 13px; }
td, th { border-bottom: 1px solid #ccc; padding: .25em .7em; text-align: right; }
td:first-child, th:first-child { text-align: left; }
svg { max-width: 100%; height: auto; } .broken { color: #a63d40; font-weight: bold; }"""
COLUMNS = (
    ("service", "service", 3),
    ("least", "least", 3),
    ("worst_window", "worst 10 s", 3),
    ("worst_type", "worst type", 3),
    ("worst_tenant", "worst tenant", 3),
    ("p50", "set-up p50, s", 3),
    ("p99", "p99, s", 3),
    ("crossings", "crossings", 3),
    ("moves", "moves", 0),
    ("store_calls", "store calls", 0),
    ("wasted", "wasted work", 3),
    ("rejected", "rejected", 0),
    ("released", "released", 0),
    ("gave_up", "unanswered", 0),
)


def mean_of(rows: list[list[float]]) -> list[float]:
    """Return the mean of each second over runs of the same length."""
    return [sum(values) / len(values) for values in zip(*rows)]


def seconds(series: Any) -> range:
    """Return the time of each value of a series: the end of its second."""
    return range(1, len(series) + 1)


def svg_element(figure: Any) -> str:
    """Render a figure as an SVG element, and close it."""
    buffer = io.StringIO()
    figure.savefig(buffer, format="svg", metadata={"Date": None}, bbox_inches="tight")
    pyplot.close(figure)
    text = buffer.getvalue()
    return text[text.index("<svg") :]


def time_axes(height: float, result: dict[str, Any], label: str) -> tuple[Any, Any]:
    """Return a figure and its axes over the seconds of the run, with the troubles marked."""
    figure, axes = pyplot.subplots(figsize=(10, height))
    for at, kind, lasts in result["troubles"]:
        axes.axvspan(at, min(at + max(lasts, 0.15), result["length"]), color="#d9d2c5", alpha=0.5, lw=0)
        axes.annotate(kind, (at, 1.01), xycoords=("data", "axes fraction"), rotation=30, fontsize=7)
    axes.set_xlim(0, result["length"])
    axes.set_xlabel("seconds")
    axes.set_ylabel(label)
    axes.spines[["top", "right"]].set_visible(False)
    return figure, axes


def policies_plot(by_policy: dict[str, list[dict[str, Any]]], key: str, label: str, height: float) -> str:
    """Plot a line for each policy: the mean over its runs, by second. Return the SVG element."""
    figure, axes = time_axes(height, next(iter(by_policy.values()))[0], label)
    for policy, results in by_policy.items():
        series = mean_of([result[key] for result in results])
        axes.plot(seconds(series), series, label=policy, lw=2.2 if policy == "bellrack" else 1.1)
    axes.set_ylim(bottom=0)
    axes.legend(loc="best", ncols=4, fontsize=7, frameon=False)
    return svg_element(figure)


def open_plot(result: dict[str, Any]) -> str:
    """Plot the open connections of each server, or their quantiles if there are many servers."""
    figure, axes = time_axes(2.6, result, "open connections")
    columns = list(zip(*result["open_by_second"]))
    if len(columns) <= MAX_SERVER_LINES:
        for name, column in zip(result["servers"], columns):
            axes.plot(seconds(column), column, label=name, lw=1.1)
    else:
        ordered = [sorted(row) for row in result["open_by_second"]]
        for share, name in (
            (0.0, "least"),
            (0.25, "a quarter"),
            (0.5, "median"),
            (0.75, "three quarters"),
            (1.0, "most"),
        ):
            series = [row[round(share * (len(row) - 1))] for row in ordered]
            axes.plot(seconds(series), series, label=name, lw=1.1)
    axes.set_ylim(bottom=0)
    if columns:
        axes.legend(loc="upper left", ncols=4, fontsize=7, frameon=False)
    return svg_element(figure)


def answers_plot(results: list[dict[str, Any]]) -> str:
    """Plot the answers per second by kind, as means over runs."""
    figure, axes = time_axes(2.4, results[0], "answers a second")
    lines = [
        mean_of([result["answers_by_second"][kind] for result in results]) for kind in range(len(ANSWERS))
    ]
    if lines[0]:
        axes.stackplot(seconds(lines[0]), *lines, labels=ANSWERS, colors=COLOURS, lw=0)
        axes.legend(loc="upper left", ncols=4, fontsize=7, frameon=False)
    return svg_element(figure)


def table(rows: list[dict[str, Any]]) -> str:
    """Return the HTML table of the metrics, a row for each policy."""
    names = "policy", "seeds", "rules", *(name for _, name, _ in COLUMNS)
    headings = "".join(f"<th>{name}</th>" for name in names)
    html_rows = []
    for row in rows:
        rules = ", ".join(row["broken"])
        broken = f'<span class="broken">broken: {rules}</span>' if rules else "kept"
        cells = [html.escape(row["policy"]), str(row["seeds"]), broken]
        cells += [f"{row[key]:.{digits}f}" for key, _, digits in COLUMNS]
        html_rows.append("<tr>" + "".join(f"<td>{cell}</td>" for cell in cells) + "</tr>")
    return f"<table><tr>{headings}</tr>{''.join(html_rows)}</table>"


def shares(results: list[dict[str, Any]], key: str) -> str:
    """Return the HTML table of mean service by traffic type or tenant; empty if there is none."""
    names = list(results[0][key])
    cells = "".join(
        f"<tr><td>{html.escape(name)}</td><td>"
        f"{experiment.mean([result[key][name] for result in results]):.3f}</td></tr>"
        for name in names
    )
    heading = f"<tr><th>{key.removeprefix('by_')}</th><th>service</th></tr>"
    return f"<table>{heading}{cells}</table>" if names else ""


def breaches(results: list[dict[str, Any]]) -> str:
    """Return the HTML list of the first breach of each rule in each run."""
    items = [
        f"<li>rule {rule}, {html.escape(result['policy'])}, seed {result['seed']}, at "
        f"{first['at']:.3f} s: {html.escape(first['what'])}</li>"
        for result in results
        for rule, verdict in result["rules"].items()
        for first in verdict["first"][:1]
    ]
    return f"<ul>{''.join(items)}</ul>" if items else "<p>None.</p>"


def page(results: list[dict[str, Any]]) -> str:
    """Return the whole page for the results of one scenario, sorted by policy and seed."""
    by_policy: dict[str, list[dict[str, Any]]] = {}
    for result in results:
        by_policy.setdefault(result["policy"], []).append(result)
    shown = by_policy.get("bellrack") or results
    name, policy = html.escape(results[0]["scenario"]), html.escape(shown[0]["policy"])
    environment = "on real sockets" if results[0].get("live") else "simulated on virtual time"
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{name}</title><style>{STYLE}</style>"
        f"<h1>{name}</h1><p>{results[0]['length']:g} seconds, {len(results[0]['servers'])} servers; figures "
        f"are means over seeds, {environment}.</p>{table(experiment.summarize(results))}"
        f"<h2>Service</h2>{policies_plot(by_policy, 'service_by_second', 'service', 3.2)}"
        f"<h2>Open connections by server ({policy}, seed {shown[0]['seed']})</h2>{open_plot(shown[0])}"
        f"<h2>Answers ({policy})</h2>{answers_plot(shown)}"
        f"<h2>Session store</h2>"
        f"{policies_plot(by_policy, 'store_by_second', 'store calls a second', 2.2)}"
        f"<h2>Where it was earned ({policy})</h2>{shares(shown, 'by_type')}{shares(shown, 'by_tenant')}"
        f"<h2>Broken rules</h2>{breaches(results)}</html>\n"
    )
