"""Parses the settings object that an instance gets at its start, for every host of the decisions."""

from __future__ import annotations

import math
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import Any

from bellrack import model
from bellrack.model import Settings, TrafficType

# Names in the settings -> names of the decisions.
EFFECTS = {"retryable": model.REPEATABLE, "dedup": model.REFERENCED, "fragile": model.ONCE_ONLY}


REPORT_FIELDS = {
    "x0": model.FULLNESS,
    "x1": model.BACKLOG,
    "errors_per_s": model.ERRORS,
    "utilization": model.BUSY,
    "outstanding": model.HELD,
}
MAX_REPORT_FIELDS = 4
RETAIN_SECONDS = 60.0  # how long a removed traffic type or tenant is still served
WEIGHT_MODES = ("nominal", "rough", "off", "live")


class SettingsError(ValueError):
    """A setting is missing or unusable; the text names the key."""


@dataclass(eq=False)
class ProtocolNames:
    """Settings that only a host on sockets reads: names on the lines and time limits, in seconds."""

    types: dict[str, int]  # index by name, also below
    tenants: dict[str, int]
    zones: dict[str, int]
    default_timeouts: list[float]  # by traffic type, for request lines without one
    connect_timeout: float
    reports_delay: bool  # servers report late messages
    reports_load: bool  # servers report their load
    removed_types: dict[str, float] = field(default_factory=dict)  # not in the last file; removed when
    removed_tenants: dict[str, float] = field(default_factory=dict)

    def retain_removed(
        self, settings: Settings, former: ProtocolNames, types: list[TrafficType], now: float
    ) -> None:
        """Keeps the traffic types and tenants that `former` had and these settings lack for RETAIN_SECONDS.

        Otherwise clients that are moved and come back as before would be refused as unknown. `types`: the
        traffic types of the former settings; `settings.types` is extended."""
        for name, index in former.types.items():
            since = former.removed_types.get(name, now)
            if name not in self.types and now - since <= RETAIN_SECONDS:
                self.removed_types[name], self.types[name] = since, len(settings.types)
                settings.types.append(types[index])
                self.default_timeouts.append(former.default_timeouts[index])
        for name, index in former.tenants.items() if self.tenants else ():
            since = former.removed_tenants.get(name, now)
            if name not in self.tenants and now - since <= RETAIN_SECONDS:
                self.removed_tenants[name], self.tenants[name] = since, index


@contextmanager
def named_errors() -> Iterator[None]:
    """Turns lookup and conversion errors in its block into a SettingsError."""
    try:
        yield
    except KeyError as error:
        raise SettingsError(f"missing key or unknown value: {error}") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(str(error)) from error


def positive(name: str, value: float) -> float:
    """Returns the value. Raises SettingsError unless it is finite and above 0: with such a typing error every
    call would be given up at once, or wait forever."""
    if not 0 < value < math.inf:
        raise SettingsError(f"{name} is {value}, not above 0")
    return value


def first_missing_key(raw: Any, former: Any) -> str:
    """Returns the path of the first key that `former`, or every row of its lists, has and `raw` lacks, or "".

    Where the two differ in form, the path ends in words that say so."""
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
    """Parses the settings of the decisions. Unknown keys are skipped, optional ones may be absent.

    Raises SettingsError."""
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
    """Returns the settings. Raises SettingsError, which names the key, for a value that is not documented for
    any deployment and for a malformed report. Only hosts that serve call it.

    Any mix of the documented values is served, since each is read on its own: whether the list is pushed,
    whether weights are live, and whether probes bring reports."""
    with named_errors():
        report = raw.get("report", {"how": "off"})
        if not isinstance(report, dict):
            raise SettingsError("report is not an object")
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
            raise SettingsError(f"report.fields is not a list of at most {MAX_REPORT_FIELDS} different names")
        return raw


def probe_report_fields(raw: Any) -> tuple[str, ...]:
    """Returns the fields of a probe's report, in order, by the names of the decisions; unknown fields keep
    their names. Empty if probes bring no reports."""
    report = raw.get("report", {})
    if report.get("how") != "on_probe" or not raw["caps"].get("probes"):
        return ()
    return tuple(REPORT_FIELDS.get(field, field) for field in report.get("fields", ()))


def parse_protocol_names(raw: Any) -> ProtocolNames:
    """Parses the settings that only a host on sockets reads. Raises SettingsError."""
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
