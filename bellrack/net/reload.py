"""SIGHUP: another configuration while the process serves."""

from __future__ import annotations

from typing import Any

from bellrack.net import lines, log
from bellrack.net.config import Config, UnreadableError, reread
from bellrack.settings import SettingsError

TRIES, AGAIN = 50, 0.1  # of a file that cannot be read at present; seconds between two
NEEDS_RESTART = ("listen", "control", "peer_listen", "peers", "peers_all")


def reload(node: Any, tries: int = TRIES) -> None:
    """Read the configuration again: all of it is parsed before anything changes. A file that cannot be read
    for a moment is tried again: the signal comes once."""
    try:
        config = reread(node.config)
    except UnreadableError as error:
        if tries > 1:
            node.after(AGAIN, reload, node, tries - 1)
        else:
            refused(node, error)
        return
    except SettingsError as error:
        refused(node, error)
        return
    node.counters["config_reloads"] += 1
    waits = [name for name in NEEDS_RESTART if getattr(config, name) != getattr(node.config, name)]
    log.event(
        "reload",
        discovery=lines.format_address(config.discovery),
        sockets=config.sockets,
        types=",".join(config.names.types),
        attempts=config.settings.max_legs,
        needs_restart=",".join(waits) or "nothing",
    )
    apply(node, config)


def refused(node: Any, error: SettingsError) -> None:
    """Guards against a file that is bad or half written: what was told before holds."""
    log.event("reload", taken="nothing", error=error)
    node.counters["config_reload_errors"] += 1


def apply(node: Any, config: Config) -> None:
    config.names.retain_removed(config.settings, node.names, node.settings.types, node.now)
    config.names.zones = node.names.zones  # with those that only the list has named
    node.settings.update_from(config.settings)
    node.names, config.settings, node.config = config.names, node.settings, config
    node.limits.set_limit(config.sockets)
    if config.discovery != node.discovery.address:
        node.discovery.change_address(config.discovery)
