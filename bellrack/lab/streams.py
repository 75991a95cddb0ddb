"""Chance in the lab: one stream a concern, all from the seed of a run.

Owns how streams follow from the seed. A concern that draws more or less (a trouble added, a client that
retries) never shifts what another draws. What is drawn is cut to whole microseconds, so that the last bits
of a machine's logarithm never decide which of two events comes first.
"""

from __future__ import annotations

import hashlib
import math

import numpy

BATCH_SIZE = 512  # drawn at one go: single draws from a Generator cost ten times as much


class RandomStream:
    """One concern's numbers."""

    def __init__(self, seed: int, concern: str):
        mark = int.from_bytes(hashlib.blake2b(concern.encode(), digest_size=8).digest(), "big")
        self.generator = numpy.random.Generator(numpy.random.PCG64([seed, mark]))
        self.buffer: list[float] = []

    def uniform(self) -> float:
        """From 0 up to, not with, 1."""
        if not self.buffer:
            self.buffer = self.generator.random(BATCH_SIZE).tolist()[::-1]
        return self.buffer.pop()

    def uniform_between(self, span: list[float]) -> float:
        """Seconds."""
        return round(span[0] + (span[1] - span[0]) * self.uniform(), 6)

    def exponential(self, mean: float) -> float:
        """Seconds until the next of events that come at random, `mean` apart."""
        return round(-math.log(1.0 - self.uniform()) * mean, 6)

    def log_normal(self, sigma: float) -> float:
        """Log-normal of mean 1."""
        if not sigma:
            return 1.0
        normal = math.sqrt(-2 * math.log(1.0 - self.uniform())) * math.cos(2 * math.pi * self.uniform())
        return round(math.exp(sigma * normal - sigma * sigma / 2), 6)

    def bernoulli(self, share: float) -> bool:
        return self.uniform() < share

    def draw_seed(self) -> int:
        return int(self.uniform() * (1 << 53))

    def weighted_index(self, sums: list[float]) -> int:
        """An index by weight, where `sums` are the running sums of the weights."""
        at = self.uniform() * sums[-1]
        low, high = 0, len(sums) - 1
        while low < high:
            middle = (low + high) // 2
            if sums[middle] > at:
                high = middle
            else:
                low = middle + 1
        return low

    def sample(self, things: list, count: int) -> list:
        """So many of them, in their order."""
        order = sorted(range(len(things)), key=lambda _: self.uniform())[:count]
        return [things[index] for index in sorted(order)]


class RandomStreams:
    """All streams of a run."""

    def __init__(self, seed: int):
        self.seed = seed
        self.by_concern: dict[str, RandomStream] = {}

    def __getitem__(self, concern: str) -> RandomStream:
        if concern not in self.by_concern:
            self.by_concern[concern] = RandomStream(self.seed, concern)
        return self.by_concern[concern]


def cumulative_sums(weights: list[float]) -> list[float]:
    """Running sums."""
    total, sums = 0.0, []
    for weight in weights:
        total += weight
        sums.append(total)
    return sums
