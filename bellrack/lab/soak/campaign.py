"""Runs a range of seeds of the soak and writes one summary.

Each seed runs in a process of its own, so that a failure does not end the others. Its result is a JSON file
in the folder of results; an interrupted campaign continues with the seeds that have no result. The logs and
events of a run that found something are kept in the same folder.
"""

from __future__ import annotations

import json
import shutil
import subprocess
import sys
import time
from collections import Counter
from collections.abc import Iterable, Iterator
from concurrent.futures import ThreadPoolExecutor, as_completed
from dataclasses import asdict, dataclass
from pathlib import Path


class CampaignError(ValueError):
    """A campaign cannot run with these options; the message is one line."""


@dataclass(frozen=True)
class Result:
    """What the run of one seed found, and counts of what it did. Written as JSON under these field names."""

    seed: int
    options: list[str]
    found: list[str]
    counts: dict[str, int]
    seconds: float


@dataclass
class Campaign:
    """A range of seeds that run with the same options."""

    seeds: range
    options: list[str]  # command-line options of each run
    folder: Path  # of the results

    def result_path(self, seed: int) -> Path:
        """Return the file of a seed's result."""
        return self.folder / f"seed-{seed}.json"

    def run_folder(self, seed: int) -> Path:
        """Return the folder of a seed's logs and events."""
        return self.folder / f"play-{seed}"

    def load_results(self) -> Iterator[Result]:
        """Yield the results in the folder. Raises CampaignError if one is of other options."""
        for seed in self.seeds:
            if (path := self.result_path(seed)).exists():
                result = Result(**json.loads(path.read_text()))
                if result.options != self.options:
                    raise CampaignError(f"{path} was run with {' '.join(result.options)}")
                yield result

    def run(self, concurrency: int) -> list[Result]:
        """Run the seeds that have no result, `concurrency` at a time, and write the summary.

        Prints one line per seed.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        results = {result.seed: result for result in self.load_results()}
        remaining = [seed for seed in self.seeds if seed not in results]
        print(f"{len(results)} of {len(self.seeds)} seeds have a result", flush=True)
        with ThreadPoolExecutor(concurrency) as executor:
            for future in as_completed([executor.submit(self.run_seed, seed) for seed in remaining]):
                result = future.result()
                results[result.seed] = result
                progress = f"{len(results)} of {len(self.seeds)}: seed {result.seed}"
                print(f"{progress}: {len(result.found)} found, {result.seconds:.0f} s", flush=True)
        ordered = [results[seed] for seed in self.seeds]
        (self.folder / "summary.txt").write_text("\n".join(summary(ordered)) + "\n")
        return ordered

    def run_seed(self, seed: int) -> Result:
        """Run a seed in a process of its own and write its result.

        A process that prints no result counts as a finding.
        """
        folder, started_at = self.run_folder(seed), time.monotonic()
        shutil.rmtree(folder, ignore_errors=True)  # of an interrupted run
        command = [sys.executable, "-m", "bellrack.lab.soak", "--seed", str(seed), "--keep", str(folder)]
        process = subprocess.run([*command, *self.options, "--json"], capture_output=True, text=True)
        try:
            output = json.loads(process.stdout)
        except ValueError:
            last_line = (process.stderr.strip().splitlines() or ["nothing printed"])[-1]
            output = {"found": [f"soak: ended with {process.returncode}: {last_line}"], "counts": {}}
        result = Result(seed, self.options, output["found"], output["counts"], time.monotonic() - started_at)
        if not result.found:
            shutil.rmtree(folder, ignore_errors=True)
        temporary_path = self.result_path(seed).with_suffix(".new")
        temporary_path.write_text(json.dumps(asdict(result), indent=1))
        temporary_path.rename(self.result_path(seed))
        return result


def summary(results: Iterable[Result]) -> Iterator[str]:
    """Yield the lines of the summary: findings by rule and by seed, and the total counts."""
    results = list(results)
    rules = Counter(line.split(":")[0] for result in results for line in result.found)
    counts = sum((Counter(result.counts) for result in results), Counter())
    failed = [result for result in results if result.found]
    yield f"{len(results)} seeds, {' '.join(results[0].options) if results else ''}".rstrip()
    yield f"{len(failed)} seeds found something; by rule: {json.dumps(dict(rules.most_common()))}"
    for result in failed:
        yield from (f"seed {result.seed}: {line}" for line in result.found)
    yield "played: " + ", ".join(f"{name} {count}" for name, count in sorted(counts.items()))
