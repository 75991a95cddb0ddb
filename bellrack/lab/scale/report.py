"""One HTML page of scale runs: roles against budgets, log-log plots over sizes with their fits.

Uses the style and the plots of the lab's report. The page is built from results alone, loads nothing from
elsewhere and runs no script; the same results give the same page.
"""

from __future__ import annotations

import html
from typing import Any

from matplotlib import pyplot

from bellrack.lab.report import STYLE, svg_element
from bellrack.lab.scale import run
from bellrack.lab.scale.plan import TARGET_BALANCERS

ROLE_COLORS = (("plain", "#3a7d44"), ("aggregator", "#a63d40"), ("busiest", "#555555"))


def page(results: list[dict[str, Any]], fits: list[dict[str, Any]]) -> str:
    """The page of a run, or of a sweep over sizes, with its fits."""
    first = results[0]
    name = html.escape(first["name"])
    time = "on real sockets over loopback" if first["time"] == "real" else "on virtual time"
    lean = (
        "; hollow balancers share the records of servers, the list is parsed once and counted for each"
        if first["lean"]
        else ""
    )
    plots = "".join(
        f"<h2>{description[0].upper()}{description[1:]}</h2>{plot(results, fits, description, key, budget)}"
        for description, key, budget in run.FITTED
        if any(rows_with(results, key))
    )
    fitted = "".join(f"<li>{html.escape(line)}</li>" for line in run.fit_lines(fits))
    return (
        f"<!doctype html><html lang=en><meta charset=utf-8><title>{name}</title><style>{STYLE}</style>"
        f"<h1>{name}</h1><p>Scale runs {time}, {first['seconds']:g} s counted, seed {first['seed']}{lean}. "
        f"Bytes are payload; with heads, {run.figures.HEADER_BYTES} bytes of headers are added per datagram. "
        f"Counts repeat with the seed; shares of a core, turns and memory depend on the machine.</p>"
        f"{table(results)}{plots}"
        f"<h2>Fits</h2>{f'<ul>{fitted}</ul>' if fitted else '<p>None: fewer than three sizes.</p>'}</html>\n"
    )


def rows_with(results: list[dict[str, Any]], key: str) -> list[dict[str, Any]]:
    """Rows of balancers that have a value of this key."""
    return [
        row for result in results for row in run.table_rows(result) if row[key] and row["role"] != "discovery"
    ]


def plot(
    results: list[dict[str, Any]],
    fits: list[dict[str, Any]],
    description: str,
    key: str,
    budget: float | None,
) -> str:
    """Plots a value of each role over sizes, on logarithmic scales, with its fit up to the target and the
    budget."""
    figure, axes = pyplot.subplots(figsize=(10, 3.4))
    for role, color in ROLE_COLORS:
        points = [(row["balancers"], row[key]) for row in rows_with(results, key) if row["role"] == role]
        if not points:
            continue
        axes.plot(*zip(*points), "o", color=color, label=role, ms=5)
        for fit in fits:
            if fit["role"] == role and fit["key"] == key:
                fit_range = (
                    min(size for size, _ in points),
                    max(TARGET_BALANCERS, *(size for size, _ in points)),
                )
                axes.plot(
                    fit_range,
                    [fit["factor"] * size ** fit["slope"] for size in fit_range],
                    "--",
                    color=color,
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
    """The table of all rows."""
    table_rows = ["<tr>" + "".join(f"<th>{heading}</th>" for _, heading, _ in run.TABLE) + "</tr>"]
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
        table_rows.append(f"<tr>{''.join(cells)}</tr>")
    return f"<table>{''.join(table_rows)}</table>"
