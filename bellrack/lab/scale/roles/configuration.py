"""The role of the configuration file."""

from __future__ import annotations

import json
import tempfile
from collections.abc import Iterator
from pathlib import Path

from bellrack.lab.scale.roles.inputs import TARGET_BALANCERS, balancer_config
from bellrack.lab.scale.roles.measurement import REPEATS, Measurement, measurement, processor_time_us
from bellrack.net.config import read_config, reread


def configuration(quick: bool) -> Iterator[Measurement]:
    """Measures the configuration file by the number of balancers that it names."""
    sizes = (60, 120, 240, 480) if quick else (60, 600, 1200, 2400, TARGET_BALANCERS)
    file_bytes, reread_us = [], []
    with tempfile.TemporaryDirectory(prefix="bellrack-scale-") as folder:
        path = Path(folder) / "config.json"
        for count in sizes:
            text = json.dumps(balancer_config(count))
            path.write_text(text, encoding="utf-8")
            file_bytes.append(len(text))
            config = read_config(str(path))
            reread_us.append(processor_time_us(lambda config=config: reread(config), 1 if quick else REPEATS))
    size_unit = "balancers named in it"
    yield measurement("configuration", "bytes of the file", "B", size_unit, sizes, file_bytes, True)
    yield measurement("configuration", "processor time to read it again", "us", size_unit, sizes, reread_us)
