"""One HTML page of scale runs: roles against budgets, log-log plots over sizes with their fits.

Owns how results are shown; the style and the drawing are the lab's report's. It reads results alone, loads
nothing from elsewhere, runs no script, and the same results give the same page.
"""

from __future__ import annotations

import html
from typing import Any

from matplotlib import pyplot

from bellrack.lab.report import STYLE, svg_element
from bellrack.lab.scale import run
from bellrack.lab.scale.plan import TARGET_BALANCERS

ROLES = (("plain", "#3a7d44"), ("aggregator", "#a63d40"), ("busiest", "#555555"))


def page(results: list[dict[str, Any]], fits: list[dict[str, Any]]) -> str:
    """The whole page of a run, or of a sweep over sizes."""
    first = results[0]
    name = html.escape(first["name"])
    face = "on real sockets over loopback" if first["time"] == "real" else "on virtual time"
    lean = (
        "; hollow balancers share the records of servers, the list is parsed once and counted for each"
        if first["lean"]
        else ""
    )
    plots = "".join(
        f"<h2>{what[0].upper()}{what[1:]}</h2>{plot(results, fits, what, key, budget)}"
        for what, key, budget in run.FITTED
        if any(rows_with(results, key))
    )
    fitted = "".join(f"<li>{html.escape(line)}</li>" for line in run.fit_lines(fits))
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{name}</title><style>{STYLE}</style>"
        f"<h1>{name}</h1><p>Scale runs {face}, {first['seconds']:g} s counted, seed {first['seed']}{lean}. "
        f"Bytes are payload but where heads are named ({run.figures.HEADER_BYTES} a datagram). Counts repeat with "
        f"the seed; shares of a core, turns and memory are this machine's.</p>{table(results)}{plots}"
        f"<h2>Fits</h2>{f'<ul>{fitted}</ul>' if fitted else '<p>None: fewer than three sizes.</p>'}</html>\n"
    )


def rows_with(results: list[dict[str, Any]], key: str) -> list[dict[str, Any]]:
    return [
        row for result in results for row in run.table_rows(result) if row[key] and row["role"] != "discovery"
    ]


def plot(
    results: list[dict[str, Any]], fits: list[dict[str, Any]], what: str, key: str, budget: float | None
) -> str:
    """Each role's figure over sizes, both scales logarithmic, its fit up to the target, and the budget."""
    figure, axes = pyplot.subplots(figsize=(10, 3.4))
    for role, colour in ROLES:
        points = [(row["balancers"], row[key]) for row in rows_with(results, key) if row["role"] == role]
        if not points:
            continue
        axes.plot(*zip(*points), "o", color=colour, label=role, ms=5)
        for fit in fits:
            if fit["role"] == role and fit["key"] == key:
                ends = min(size for size, _ in points), max(TARGET_BALANCERS, *(size for size, _ in points))
                axes.plot(
                    ends,
                    [fit["factor"] * size ** fit["slope"] for size in ends],
                    "--",
                    color=colour,
                    lw=1,
                    label=f"size to the {fit['slope']:.2f} ± {fit['error']:.2f}",
                )
    if budget:
        axes.axhline(budget, color="#c98a1b", lw=1.2, label=f"budget {budget:g}")
    axes.set_xscale("log")
    axes.set_yscale("log")
    axes.set_xlabel("balancers")
    axes.spines[["top", "right"]].set_visible(False)
    axes.legend(loc="best", ncols=2, fontsize=7, frameon=False)
    return svg_element(figure)


def table(results: list[dict[str, Any]]) -> str:
    lines = ["<tr>" + "".join(f"<th>{head}</th>" for _, head, _ in run.TABLE) + "</tr>"]
    for row in (row for result in results for row in run.table_rows(result)):
        cells = []
        for key, _, form in run.TABLE:
            value = row[key]
            text = (
                "-"
                if value in (None, [])
                else ", ".join(value)
                if isinstance(value, list)
                else form.format(value)
            )
            cells.append(f'<td class="broken">{text}</td>' if key == "over" and value else f"<td>{text}</td>")
        lines.append(f"<tr>{''.join(cells)}</tr>")
    return f"<table>{''.join(lines)}</table>"
