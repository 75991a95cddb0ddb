"""The settings object that an instance is told at its start, read once for every host of the decisions."""
from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from typing import Any

from bellrack import model
from bellrack.model import Settings, TrafficType

EFFECTS = {"retryable": model.REPEATABLE, "dedup": model.REFERENCED, "fragile": model.ONCE_ONLY}


REPORT = {"x0": model.FULLNESS, "x1": model.BACKLOG, "errors_per_s": model.ERRORS, "utilization": model.BUSY,
          "outstanding": model.HELD}
FIELDS = (*REPORT, "backlog", "recent_ms", "throughput")
MOST_FIELDS = 4
WEIGHTS = ("nominal", "rough", "off", "live")


class SettingsError(ValueError):
    """Settings that lack what is needed; the text names the place."""


@dataclass(eq=False)
class Names:
    """What only a host on sockets reads: names on the lines, and the limits of set-ups."""

    types: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    guards: list[float]  # by traffic type, where a line tells none
    connect_timeout: float
    tells_delay: bool
    tells_load: bool


@contextmanager
def named_errors() -> Iterator[None]:
    """Whatever is amiss within becomes one SettingsError."""
    try:
        yield
    except KeyError as error:
        raise SettingsError(f"no usable value at {error}") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(str(error)) from error


def parse_settings(raw: Any) -> Settings:
    """The settings that decisions read; unknown keys are skipped, optional ones may be absent."""
    with named_errors():
        special, caps, rules = raw["specifics"], raw["caps"], raw["obligations"]
        aims = special.get("messageAimUs") or [row["setupTargetUs"] for row in raw["trafficTypes"]]
        types = [
            TrafficType(EFFECTS[row["effect"]], row.get("group", "all"), row.get("keyTtlUs", 0) / 1e6,
                        row["setupTargetUs"] / 1e6, aim / 1e6)
            for row, aim in zip(raw["trafficTypes"], aims, strict=True)
        ]
        peers = int(raw["peersTotal"])
        if not types or peers < 1:
            raise SettingsError("no traffic types" if not types else f"peersTotal is {peers}")
        return Settings(
            types=types, zone=int(raw["az"]), peers=peers, asks=raw["discovery"] == "ask",
            live=raw.get("weights") == "live", report=probes_tell(raw),
            max_legs=int(caps["maxLegs"]),
            max_open_wait=caps.get("maxRetryAfterUs", 0) / 1e6 if caps.get("retryAfter") else 0.0,
            tick=raw.get("tickUs", 0) / 1e6, answer_slack=rules["answerSlackUs"] / 1e6,
            cold_share=float(rules["coldShare"]), ramp_time=rules["rampTimeUs"] / 1e6)


def check_shape(raw: Any) -> Any:
    """Refuse settings that mix the two shapes of a deployment, or values that neither knows; the text
    names the key, and give them back. Only a host that serves asks this: the simulator may play any mix.

    Nominal: the list is asked for, weights stand still, no report is read. Live: the list comes unasked,
    weights fall with what a server holds, and reports come to probes."""
    with named_errors():
        discovery, weights = raw["discovery"], raw.get("weights", "nominal")
        report, probes = raw.get("report", {"how": "off"}), raw["caps"].get("probes", False)
        if not isinstance(report, dict):
            raise SettingsError("report is no object")
        how, fields = report.get("how", "off"), report.get("fields", [])
        for key, value, known in (("discovery", discovery, ("ask", "push")), ("weights", weights, WEIGHTS),
                                  ("report.how", how, ("off", "inline", "on_probe")),
                                  ("caps.probes", probes, (True, False))):
            if not isinstance(value, type(known[0])) or value not in known:
                raise SettingsError(f"{key} is {value!r}, not one of {', '.join(map(str, known))}")
        live = weights == "live"
        if live != (discovery == "push"):
            raise SettingsError(f"discovery {discovery!r} does not go with weights {weights!r}")
        if live != (how == "on_probe"):
            raise SettingsError(f"report.how {how!r} does not go with weights {weights!r}")
        if not live:
            return raw
        if not probes:
            raise SettingsError("caps.probes is off, but report.how is 'on_probe'")
        if not isinstance(fields, list) or not 1 <= len(fields) <= MOST_FIELDS:
            raise SettingsError(f"report.fields holds no list of 1 to {MOST_FIELDS} names")
        for field in fields:
            if field not in FIELDS or fields.count(field) > 1:
                raise SettingsError(f"report.fields: {field!r} is unknown or named twice")
        if "x0" not in fields:
            raise SettingsError("report.fields lacks 'x0', by which servers are chosen")
        return raw


def probes_tell(raw: Any) -> tuple[str, ...]:
    """What a probe's report brings, in its order, by the names of the decisions; others keep theirs."""
    report = raw.get("report", {})
    if report.get("how") != "on_probe" or not raw["caps"].get("probes"):
        return ()
    return tuple(REPORT.get(field, field) for field in report["fields"])


def parse_names(raw: Any) -> Names:
    """What a host on sockets needs besides."""
    with named_errors():
        special = raw["specifics"]
        return Names(
            types={row["name"]: index for index, row in enumerate(raw["trafficTypes"])},
            tenants={row["name"]: index for index, row in enumerate(raw.get("accounts", []))},
            zones={name: index for index, name in enumerate(raw["areas"])},
            guards=[row["guardTimeUs"] / 1e6 for row in raw["trafficTypes"]],
            connect_timeout=raw["caps"]["connectTimeoutUs"] / 1e6,
            tells_delay=bool(special.get("tellsDelay")), tells_load=bool(special.get("tellsLoad")))
