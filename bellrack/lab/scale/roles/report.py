"""The report on measurements, as plain text and as JSON."""

from __future__ import annotations

import subprocess
from dataclasses import asdict
from pathlib import Path
from typing import Any

from bellrack.lab.scale.roles.measurement import Measurement


def commit_id() -> str:
    """Returns the short id of the commit that is measured; "unknown" outside a repository."""
    try:
        return subprocess.run(
            ["git", "rev-parse", "--short", "HEAD"],
            cwd=Path(__file__).parent,
            check=True,
            capture_output=True,
            text=True,
        ).stdout.strip()
    except (OSError, subprocess.CalledProcessError):
        return "unknown"


def as_text(result: Measurement) -> str:
    """Formats a measurement as lines of plain text."""
    head = (
        f"{result.role}: {result.name} [{result.unit}] by {result.of}{', counted' if result.counted else ''}"
    )
    text = f"{head}\n  " + "  ".join(
        f"{size}: {value:.6g}" for size, value in zip(result.sizes, result.values)
    )
    if result.fit:
        text += (
            f"\n  fit {result.fit.formula()}, error {result.fit.error:.2g}, "
            f"largest residual {result.fit.residual:.1%}"
        )
    return text


def as_json(result: Measurement) -> dict[str, Any]:
    """Returns a measurement as an object of the JSON report."""
    fields = asdict(result)
    if result.fit:
        fields["fit"] |= {"form": result.fit.form, "formula": result.fit.formula()}
    return fields
