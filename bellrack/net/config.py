"""The configuration file of a balancer process.

Reads and checks the file; whatever makes it unusable is raised as one SettingsError with a readable text. No
socket is opened here.
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
    """A checked configuration. Addresses are pairs of host and port."""

    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int  # most descriptors that the process may have open
    settings: Settings
    names: ProtocolNames
    known: Listing | None  # the server list that the file brings
    peer_listen: tuple[str, int] | None
    peers: list[tuple[str, int]]
    peers_all: tuple[str, int] | None
    control: tuple[str, int] | None  # the admin address
    raw: dict[str, Any]  # the JSON object of the file, without `known`
    path: str = ""  # of the file, for a reload
    known_error: str = ""  # why `known` could not be read


class UnreadableError(SettingsError):
    """The file cannot be read at present; a later attempt may succeed."""


def read_config(path: str) -> Config:
    """Read a configuration file.

    Raises SettingsError if the file is unusable, UnreadableError if reading it may succeed later."""
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
        if isinstance(raw, dict) and (control := os.environ.get("BALANCER_CONTROL")):
            raw.setdefault("control", control)
        config = parse_config(raw)
    except OSError as error:
        kind = UnreadableError if transient.is_transient(error) else SettingsError
        raise kind(f"{path}: {error.strerror}") from error
    except ValueError as error:
        raise SettingsError(f"{path}: {error}") from error
    config.path = path
    return config


def reread(config: Config) -> Config:
    """Read the file of a configuration again.

    Stricter than the first reading: each key that the file had must still be there, and the shape of the
    deployment must not change, as open connections depend on it. Raises SettingsError."""
    new = read_config(config.path)
    if new.known_error:
        raise SettingsError(f"{config.path}: known: {new.known_error}")
    if missing_key := first_missing_key(new.raw, config.raw):
        raise SettingsError(f"{config.path}: no value at '{missing_key}', which the file had before")
    for name in ("zone", "asks", "live", "report"):
        if getattr(new.settings, name) != getattr(config.settings, name):
            raise SettingsError(f"{config.path}: another {name} needs a restart")
    if new.raw["settings"]["areas"] != config.raw["settings"]["areas"]:
        raise SettingsError(f"{config.path}: other areas need a restart")
    return new


def parse_config(raw: Any) -> Config:
    """Return the configuration that a JSON object describes. Raises SettingsError."""
    if not isinstance(raw, dict):
        raise SettingsError("not an object")
    known, known_error = None, ""
    try:
        known = parse_list(raw["known"]) if raw.get("known") else None
    except LineError as error:
        # An invalid list must not prevent a start: discovery sends a new one. It counts as no list.
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
