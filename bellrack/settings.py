"""The settings object that an instance is told at its start, read once for every host of the decisions."""
from __future__ import annotations

import json
from dataclasses import dataclass
from typing import Any

from bellrack import model
from bellrack.model import Settings, TrafficType
from bellrack.net.lines import Listing, address, listing

EFFECTS = {"retryable": model.REPEATABLE, "dedup": model.REFERENCED, "fragile": model.ONCE_ONLY}


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
    report: list[str]  # the values of a load report, where a probe brings one


def parse_settings(raw: Any) -> Settings:
    """The settings that decisions read; unknown keys are skipped, optional ones may be absent."""
    try:
        special, caps, rules = raw["specifics"], raw["caps"], raw["obligations"]
        aims = special.get("messageAimUs") or [row["setupTargetUs"] for row in raw["trafficTypes"]]
        types = [
            TrafficType(EFFECTS[row["effect"]], row.get("group", "all"), row.get("keyTtlUs", 0) / 1e6,
                        row["setupTargetUs"] / 1e6, aim / 1e6)
            for row, aim in zip(raw["trafficTypes"], aims, strict=True)
        ]
        return Settings(
            types=types, zone=raw["az"], peers=raw["peersTotal"], asks=raw["discovery"] == "ask",
            max_legs=caps["maxLegs"],
            max_open_wait=caps.get("maxRetryAfterUs", 0) / 1e6 if caps.get("retryAfter") else 0.0,
            tick=raw.get("tickUs", 0) / 1e6, answer_slack=rules["answerSlackUs"] / 1e6,
            cold_share=rules["coldShare"], ramp_time=rules["rampTimeUs"] / 1e6)
    except KeyError as error:
        raise SettingsError(f"no usable value at {error}") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(str(error)) from error


def parse_names(raw: Any) -> Names:
    """What a host on sockets needs besides."""
    try:
        special, report = raw["specifics"], raw.get("report", {})
        return Names(
            types={row["name"]: index for index, row in enumerate(raw["trafficTypes"])},
            tenants={row["name"]: index for index, row in enumerate(raw.get("accounts", []))},
            zones={name: index for index, name in enumerate(raw["areas"])},
            guards=[row["guardTimeUs"] / 1e6 for row in raw["trafficTypes"]],
            connect_timeout=raw["caps"]["connectTimeoutUs"] / 1e6,
            tells_delay=bool(special.get("tellsDelay")), tells_load=bool(special.get("tellsLoad")),
            report=report["fields"] if report.get("how", "off") != "off" else [])
    except KeyError as error:
        raise SettingsError(f"no usable value at {error}") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(str(error)) from error


@dataclass(eq=False)
class Config:
    """What a balancer on sockets is told at its start."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    settings: Settings
    names: Names
    known: Listing | None
    peer_listen: tuple[str, int] | None
    peers: list[tuple[str, int]]
    peers_all: tuple[str, int] | None


def read_config(path: str) -> Config:
    """A configuration file; whatever makes it unusable is one SettingsError."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        if not isinstance(raw, dict):
            raise SettingsError("not an object")
        return Config(
            name=str(raw.get("name", "")), listen=address(raw["listen"]), discovery=address(raw["discovery"]),
            seed=int(str(raw.get("seed", "0")), 16), sockets=int(raw.get("limits", {}).get("sockets", 1024)),
            settings=parse_settings(raw["settings"]), names=parse_names(raw["settings"]),
            known=listing(raw["known"]) if raw.get("known") else None,
            peer_listen=address(raw["peer_listen"]) if raw.get("peer_listen") else None,
            peers=[address(peer) for peer in raw.get("peers", [])],
            peers_all=address(raw["peers_all"]) if raw.get("peers_all") else None)
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except KeyError as error:
        raise SettingsError(f"{path}: no value at {error}") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(f"{path}: {error}") from error
