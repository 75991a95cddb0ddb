"""What a balancer on sockets is told at its start.

Owns the reading of the configuration file. It never opens a socket, and whatever makes a file unusable leaves
it as one SettingsError with a plain text.
"""

from __future__ import annotations

import json
import os
from dataclasses import dataclass
from typing import Any

from bellrack.model import Settings
from bellrack.net import transient
from bellrack.net.lines import LineError, Listing, parse_address, parse_list
from bellrack.settings import (
    ProtocolNames,
    SettingsError,
    check_shape,
    first_missing_key,
    parse_protocol_names,
    parse_settings,
)


@dataclass(eq=False)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    settings: Settings
    names: ProtocolNames
    known: Listing | None
    peer_listen: tuple[str, int] | None
    peers: list[tuple[str, int]]
    peers_all: tuple[str, int] | None
    control: tuple[str, int] | None  # where operators call
    raw: dict[str, Any]  # as it stood in the file, but for the list
    path: str = ""  # read again on request
    known_error: str = ""  # why `known` could not be read


class UnreadableError(SettingsError):
    """The file cannot be read at present; it may be in a moment."""


def read_config(path: str) -> Config:
    """Raises SettingsError with a plain text, UnreadableError where that may pass."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        if isinstance(raw, dict) and (place := os.environ.get("BALANCER_CONTROL")):
            raw.setdefault("control", place)
        config = parse_config(raw)
    except OSError as error:
        kind = UnreadableError if transient.is_transient(error) else SettingsError
        raise kind(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from error
    config.path = path
    return config


def reread(config: Config) -> Config:
    """The file of a configuration as it is now. Stricter than the first reading: what a file had, it has, and
    the shape of the deployment stays, as all that is under way rests on it."""
    new = read_config(config.path)
    if new.known_error:
        raise SettingsError(f"{config.path}: known: {new.known_error}")
    if lacks := first_missing_key(new.raw, config.raw):
        raise SettingsError(f"{config.path}: no value at '{lacks}', which it had")
    for name in ("zone", "asks", "live", "report"):
        if getattr(new.settings, name) != getattr(config.settings, name):
            raise SettingsError(f"{config.path}: another {name} needs a restart")
    if new.raw["settings"]["areas"] != config.raw["settings"]["areas"]:
        raise SettingsError(f"{config.path}: other areas need a restart")
    return new


def parse_config(raw: Any) -> Config:
    """A configuration from its JSON object."""
    if not isinstance(raw, dict):
        raise SettingsError("not an object")
    known, known_error = None, ""
    try:
        known = parse_list(raw["known"]) if raw.get("known") else None
    except LineError as error:
        # Guards against a start that fails for a list that discovery tells anew: as if none were known.
        known_error = str(error)
    try:
        return Config(
            name=str(raw.get("name", "")),
            listen=parse_address(raw["listen"]),
            discovery=parse_address(raw["discovery"]),
            seed=int(str(raw.get("seed", "0")), 16),
            sockets=int(raw.get("limits", {}).get("sockets", 1024)),
            settings=parse_settings(check_shape(raw["settings"])),
            names=parse_protocol_names(raw["settings"]),
            known=known,
            known_error=known_error,
            peer_listen=parse_address(raw["peer_listen"]) if raw.get("peer_listen") else None,
            peers=[parse_address(peer) for peer in raw.get("peers", [])],
            peers_all=parse_address(raw["peers_all"]) if raw.get("peers_all") else None,
            control=parse_address(raw["control"]) if raw.get("control") else None,
            raw={key: value for key, value in raw.items() if key != "known"},
        )
    except KeyError as error:
        raise SettingsError(f"no value at {error}") from error
    except (ValueError, TypeError, AttributeError) as error:
        raise SettingsError(str(error)) from error
