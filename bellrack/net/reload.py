"""Reload of the configuration while the process serves, on SIGHUP."""

from __future__ import annotations

from typing import Any

from bellrack.net import lines, log
from bellrack.net.config import Config, UnreadableError, reread
from bellrack.settings import SettingsError

MAX_ATTEMPTS = 50  # to read a file that cannot be read for a moment
RETRY_INTERVAL_SECONDS = 0.1
# Attributes of the configuration that take effect only after a restart. The log prints these names.
NEEDS_RESTART = ("listen", "control", "peer_listen", "peers", "peers_all")


def reload(node: Any, attempts_left: int = MAX_ATTEMPTS) -> None:
    """Read the configuration file again and apply it.

    The whole file is parsed before anything changes. A transient failure to read it is retried, as the signal
    is sent only once. `attempts_left`: how often to try, this time included."""
    try:
        config = reread(node.config)
    except UnreadableError as error:
        if attempts_left > 1:
            node.after(RETRY_INTERVAL_SECONDS, reload, node, attempts_left - 1)
        else:
            reject(node, error)
        return
    except SettingsError as error:
        reject(node, error)
        return
    node.counters["config_reloads"] += 1
    changed = [name for name in NEEDS_RESTART if getattr(config, name) != getattr(node.config, name)]
    log.event(
        "reload",
        discovery=lines.format_address(config.discovery),
        sockets=config.sockets,
        types=",".join(config.names.types),
        attempts=config.settings.max_legs,
        needs_restart=",".join(changed) or "nothing",
    )
    apply(node, config)


def reject(node: Any, error: SettingsError) -> None:
    """Log and count a file that is invalid or half written; the previous configuration stays in effect."""
    log.event("reload", taken="nothing", error=error)
    node.counters["config_reload_errors"] += 1


def apply(node: Any, config: Config) -> None:
    """Put a parsed configuration into effect."""
    config.names.retain_removed(config.settings, node.names, node.settings.types, node.now)
    config.names.zones = node.names.zones  # including zones that only the server list has named
    node.settings.update_from(config.settings)
    node.names, config.settings, node.config = config.names, node.settings, config
    node.limits.set_limit(config.sockets)
    if config.discovery != node.discovery.address:
        node.discovery.change_address(config.discovery)
