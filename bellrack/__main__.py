"""bellrack: a balancer for long-lived connections.

Usage:
  bellrack serve [--config=FILE]
  bellrack check FILE
  bellrack lab (run | live | compare | sweep | shrink | report | check | scale) ...
  bellrack version
  bellrack (-h | --help)

Commands:
  serve    Serve on the addresses of the configuration until SIGTERM; SIGUSR1 prints the counters.
  check    Say whether a configuration can be served.
  lab      Play scenarios of a deployment; `bellrack lab --help` tells more. Needs bellrack[lab].
  version  Print the version.

Options:
  --config=FILE  The configuration; $BALANCER_CONFIG if not given.
"""

from __future__ import annotations

import os
import sys
import time
from typing import Any

from bellrack import __version__, start_signals


def main() -> int:
    if sys.argv[1:2] == ["serve"]:
        start_signals.install()  # before what takes long to import
    if sys.argv[1:2] == ["lab"]:
        return lab(sys.argv[2:])
    return served(arguments(sys.argv[1:]))


def served(args: dict[str, Any]) -> int:
    """The commands that read a configuration, and `version`."""
    from bellrack.net.config import read_config
    from bellrack.settings import SettingsError

    if args["version"]:
        print(f"bellrack {__version__}")
        return 0
    path = args["FILE"] or args["--config"] or os.environ.get("BALANCER_CONFIG")
    try:
        if not path:
            raise SettingsError("no configuration: give --config or set BALANCER_CONFIG")
        config = read_config(path) if args["check"] else read_when_possible(path)
        if args["check"]:
            spoilt = f"; the list there is left: {config.known_error}" if config.known_error else ""
            print(f"{path}: usable; {len(config.known.entries) if config.known else 0} servers known{spoilt}")
            return 0
        from bellrack.net.node import run

        run(config)
    except (SettingsError, OSError) as error:
        print(f"bellrack: {error}", file=sys.stderr)
        return 2
    return 0


def read_when_possible(path: str) -> Any:
    """The configuration, however late the file can be read: guards against a start refused for a moment."""
    from bellrack.net import transient
    from bellrack.net.config import UnreadableError, read_config

    end = time.monotonic() + transient.START_RETRY_SECONDS
    while True:
        try:
            return read_config(path)
        except UnreadableError:
            if time.monotonic() >= end:
                raise
        time.sleep(transient.RETRY_INTERVAL_SECONDS)


def arguments(given: list[str]) -> dict[str, Any]:
    """What docopt makes of them; the daemon's usual two forms are read without it. Guards against starts that
    pay for reading of what is always the same: hundreds at once share few cores."""
    path = "".join(given[1:]).removeprefix("--config=")
    if given in (["serve"], ["serve", f"--config={path}"]):
        return {"version": False, "check": False, "FILE": None, "--config": path}
    from docopt import docopt

    return docopt(__doc__, given)


def lab(arguments: list[str]) -> int:
    """Imported only when asked for: the daemon pays nothing for it."""
    try:
        from bellrack.lab import cli
    except ModuleNotFoundError as error:
        print(f"bellrack: the lab needs {error.name}: install bellrack[lab]", file=sys.stderr)
        return 2
    return cli.main(arguments)


if __name__ == "__main__":
    sys.exit(main())
