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
    """Run the command line; return the exit status."""
    if sys.argv[1:2] == ["serve"]:
        start_signals.install()  # before the imports that take long
    if sys.argv[1:2] == ["lab"]:
        return lab(sys.argv[2:])
    return run_command(parse_arguments(sys.argv[1:]))


def run_command(args: dict[str, Any]) -> int:
    """Run `serve`, `check` or `version`; return the exit status."""
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
            note = f"; the list there is left: {config.known_error}" if config.known_error else ""
            print(f"{path}: usable; {len(config.known.entries) if config.known else 0} servers known{note}")
            return 0
        from bellrack.net.node import run

        run(config)
    except (SettingsError, OSError) as error:
        print(f"bellrack: {error}", file=sys.stderr)
        return 2
    return 0


def read_when_possible(path: str) -> Any:
    """Read the configuration; retry while the file cannot be read, so that a start survives such a moment.

    Raises SettingsError, UnreadableError after START_RETRY_SECONDS."""
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


def parse_arguments(given: list[str]) -> dict[str, Any]:
    """Parse command-line arguments as docopt does, without it for the two usual forms of `serve`.

    Loading docopt would slow down every start, and hundreds of starts at once may share few cores."""
    path = "".join(given[1:]).removeprefix("--config=")
    if given in (["serve"], ["serve", f"--config={path}"]):
        return {"version": False, "check": False, "FILE": None, "--config": path}
    from docopt import docopt

    return docopt(__doc__, given)


def lab(arguments: list[str]) -> int:
    """Run a lab command; return the exit status.

    The lab is imported only here, so that `serve` does not load it."""
    try:
        from bellrack.lab import cli
    except ModuleNotFoundError as error:
        print(f"bellrack: the lab needs {error.name}: install bellrack[lab]", file=sys.stderr)
        return 2
    return cli.main(arguments)


if __name__ == "__main__":
    sys.exit(main())
