"""The settings object that an instance is told at its start, read once for every host of the decisions."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from bellrack import model
from bellrack.model import Settings, TrafficType

EFFECTS = {"retryable": model.REPEATABLE, "dedup": model.REFERENCED, "fragile": model.ONCE_ONLY}


REPORT_FIELDS = {
    "x0": model.FULLNESS,
    "x1": model.BACKLOG,
    "errors_per_s": model.ERRORS,
    "utilization": model.BUSY,
    "outstanding": model.HELD,
}
MAX_REPORT_FIELDS = 4
RETAIN_SECONDS = 60.0  # seconds for which a traffic type that has vanished is still served
WEIGHT_MODES = ("nominal", "rough", "off", "live")


class SettingsError(ValueError):
    """Settings that lack what is needed; the text names the place."""


@dataclass(eq=False)
class ProtocolNames:
    """What only a host on sockets reads: names on the lines, and the limits of set-ups."""

    types: dict[str, int]
    tenants: dict[str, int]
    zones: dict[str, int]
    default_timeouts: list[float]  # by traffic type, where a line tells none
    connect_timeout: float
    reports_delay: bool
    reports_load: bool
    vanished: dict[str, float] = field(default_factory=dict)  # types that the last files lack, and since when
    closed: dict[str, float] = field(default_factory=dict)  # the same of tenants

    def retain_removed(
        self, settings: Settings, former: ProtocolNames, types: list[TrafficType], now: float
    ) -> None:
        """Traffic types and tenants that the former settings had and these lack stay for a while: guards
        against clients that are moved, come again as what they were, and hear that there is none such."""
        for name, index in former.types.items():
            since = former.vanished.get(name, now)
            if name not in self.types and now - since <= RETAIN_SECONDS:
                self.vanished[name], self.types[name] = since, len(settings.types)
                settings.types.append(types[index])
                self.default_timeouts.append(former.default_timeouts[index])
        for name, index in former.tenants.items() if self.tenants else ():
            since = former.closed.get(name, now)
            if name not in self.tenants and now - since <= RETAIN_SECONDS:
                self.closed[name], self.tenants[name] = since, index


@contextmanager
def named_errors() -> Iterator[None]:
    """Whatever is amiss within becomes one SettingsError."""
    try:
        yield
    except KeyError as error:
        raise SettingsError(f"no usable value at {error}") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(str(error)) from error


def positive(name: str, value: float) -> float:
    """Guards against a slip of the pen with which every call would be given up at once, or wait for ever."""
    if not 0 < value < math.inf:
        raise SettingsError(f"{name} is {value}, not over 0")
    return value


def first_missing_key(raw: Any, former: Any) -> str:
    """The first key that stood in the former object, or in every row of its lists, and is not in this one."""
    if isinstance(former, dict) and isinstance(raw, dict):
        for key in former:
            if key not in raw:
                return key
            if inner := first_missing_key(raw[key], former[key]):
                return f"{key}.{inner}"
    elif isinstance(former, list) and isinstance(raw, list):
        rows = [row for row in former if isinstance(row, dict)]
        common = {key: rows[0][key] for key in rows[0] if all(key in row for row in rows)} if rows else {}
        for row in raw if common else []:
            if inner := first_missing_key(row, common) if isinstance(row, dict) else "a row":
                return inner
    elif isinstance(former, dict | list):
        return "its own form"
    return ""


def parse_settings(raw: Any) -> Settings:
    """The settings that decisions read; unknown keys are skipped, optional ones may be absent."""
    with named_errors():
        special, caps, rules = raw["specifics"], raw["caps"], raw["obligations"]
        aims = special.get("messageAimUs") or [row["setupTargetUs"] for row in raw["trafficTypes"]]
        types = [
            TrafficType(
                EFFECTS[row["effect"]],
                row.get("group", "all"),
                row.get("keyTtlUs", 0) / 1e6,
                row["setupTargetUs"] / 1e6,
                aim / 1e6,
            )
            for row, aim in zip(raw["trafficTypes"], aims, strict=True)
        ]
        peers, number = int(raw["peersTotal"]), int(raw.get("slotNo", -1))
        for kind in types:
            positive("setupTargetUs", kind.setup_target)
            positive("messageAimUs", kind.message_aim)
        positive("maxLegs", caps["maxLegs"])
        if not types or peers < 1:
            raise SettingsError("no traffic types" if not types else f"peersTotal is {peers}")
        return Settings(
            types=types,
            zone=int(raw["az"]),
            peers=peers,
            asks=raw["discovery"] == "ask",
            live=raw.get("weights") == "live",
            report=probe_report_fields(raw),
            max_legs=int(caps["maxLegs"]),
            max_open_wait=caps.get("maxRetryAfterUs", 0) / 1e6 if caps.get("retryAfter") else 0.0,
            tick=raw.get("tickUs", 0) / 1e6,
            answer_slack=rules["answerSlackUs"] / 1e6,
            cold_share=float(rules["coldShare"]),
            ramp_time=positive("rampTimeUs", rules["rampTimeUs"]) / 1e6,
            overload_factor=positive("overloadFactor", rules.get("overloadFactor", 1.0)),
            fall_time=positive("fallUs", rules.get("fallUs", 1e6)) / 1e6,
            number=number,
            may_publish=bool(caps.get("mayTell"))
            and 0 <= number < peers
            and peers > model.MAX_PEERS_WITHOUT_EXCHANGE,
            drain_grace=rules.get("stopSendingWithinUs", 1e6) / 1e6,
            ask_within=positive("askWithinUs", rules.get("askWithinUs", 1e7)) / 1e6,
        )


def check_shape(raw: Any) -> Any:
    """Refuse values that no page of a deployment knows, and reports of no form; the text names the key. Gives
    the settings back. Only a host that serves asks this.

    Any mix of what the pages allow is served, as each is read on its own: whether the list comes unasked,
    whether weights are live, and whether probes bring reports."""
    with named_errors():
        report = raw.get("report", {"how": "off"})
        if not isinstance(report, dict):
            raise SettingsError("report is no object")
        how, fields = report.get("how", "off"), report.get("fields", [])
        for key, value, known in (
            ("discovery", raw["discovery"], ("ask", "push")),
            ("weights", raw.get("weights", "nominal"), WEIGHT_MODES),
            ("report.how", how, ("off", "inline", "on_probe")),
            ("caps.probes", raw["caps"].get("probes", False), (True, False)),
        ):
            if not isinstance(value, type(known[0])) or value not in known:
                raise SettingsError(f"{key} is {value!r}, not one of {', '.join(map(str, known))}")
        named = isinstance(fields, list) and all(isinstance(name, str) for name in fields)
        if not named or len(fields) > MAX_REPORT_FIELDS or len(set(fields)) < len(fields):
            raise SettingsError(f"report.fields is no list of {MAX_REPORT_FIELDS} different names at most")
        return raw


def probe_report_fields(raw: Any) -> tuple[str, ...]:
    """What a probe's report brings, in its order, by the names of the decisions; others keep theirs."""
    report = raw.get("report", {})
    if report.get("how") != "on_probe" or not raw["caps"].get("probes"):
        return ()
    return tuple(REPORT_FIELDS.get(field, field) for field in report.get("fields", ()))


def parse_protocol_names(raw: Any) -> ProtocolNames:
    """What a host on sockets needs besides."""
    with named_errors():
        special = raw["specifics"]
        return ProtocolNames(
            types={row["name"]: index for index, row in enumerate(raw["trafficTypes"])},
            tenants={row["name"]: index for index, row in enumerate(raw.get("accounts", []))},
            zones={name: index for index, name in enumerate(raw["areas"])},
            default_timeouts=[
                positive("guardTimeUs", row["guardTimeUs"]) / 1e6 for row in raw["trafficTypes"]
            ],
            connect_timeout=positive("connectTimeoutUs", raw["caps"]["connectTimeoutUs"]) / 1e6,
            reports_delay=bool(special.get("tellsDelay")),
            reports_load=bool(special.get("tellsLoad")),
        )
