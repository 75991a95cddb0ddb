"""Random numbers of a run: one stream for each concern, all derived from the seed of the run.

Separate streams keep draws independent: a concern that draws more or less (because of another trouble, or a
client that retries) shifts no draws of other concerns. Times are rounded to whole microseconds, so that
the last bits of a platform's logarithm decide no order of events.
"""

from __future__ import annotations

import hashlib
import math

import numpy

BATCH_SIZE = 512  # numbers per call of the generator: single draws cost ten times as much


class RandomStream:
    """The random numbers of one concern, which is part of the seed by its name."""

    def __init__(self, seed: int, concern: str):
        concern_hash = int.from_bytes(hashlib.blake2b(concern.encode(), digest_size=8).digest(), "big")
        self.generator = numpy.random.Generator(numpy.random.PCG64([seed, concern_hash]))
        self.buffer: list[float] = []

    def uniform(self) -> float:
        """A number in [0, 1)."""
        if not self.buffer:
            self.buffer = self.generator.random(BATCH_SIZE).tolist()[::-1]
        return self.buffer.pop()

    def uniform_between(self, span: list[float]) -> float:
        """A number between the two of `span`, in seconds."""
        return round(span[0] + (span[1] - span[0]) * self.uniform(), 6)

    def exponential(self, mean: float) -> float:
        """Seconds until the next of random events, `mean` seconds apart (exponentially distributed)."""
        return round(-math.log(1.0 - self.uniform()) * mean, 6)

    def log_normal(self, sigma: float) -> float:
        """A log-normally distributed number of mean 1; `sigma` is the deviation of its logarithm."""
        if not sigma:
            return 1.0
        normal = math.sqrt(-2 * math.log(1.0 - self.uniform())) * math.cos(2 * math.pi * self.uniform())
        return round(math.exp(sigma * normal - sigma * sigma / 2), 6)

    def bernoulli(self, share: float) -> bool:
        """True with the probability `share`."""
        return self.uniform() < share

    def draw_seed(self) -> int:
        """An integer of 53 bits."""
        return int(self.uniform() * (1 << 53))

    def weighted_index(self, sums: list[float]) -> int:
        """An index with a probability by weight; `sums` are the cumulative sums of the weights."""
        target = self.uniform() * sums[-1]
        low, high = 0, len(sums) - 1
        while low < high:
            middle = (low + high) // 2
            if sums[middle] > target:
                high = middle
            else:
                low = middle + 1
        return low

    def sample(self, population: list, count: int) -> list:
        """At most `count` elements, without repetition, in the order of the population."""
        chosen = sorted(range(len(population)), key=lambda _: self.uniform())[:count]
        return [population[index] for index in sorted(chosen)]


class RandomStreams:
    """All streams of a run, by concern; a stream is created at its first use."""

    def __init__(self, seed: int):
        self.seed = seed
        self.by_concern: dict[str, RandomStream] = {}

    def __getitem__(self, concern: str) -> RandomStream:
        if concern not in self.by_concern:
            self.by_concern[concern] = RandomStream(self.seed, concern)
        return self.by_concern[concern]


def cumulative_sums(weights: list[float]) -> list[float]:
    """The cumulative sums of the weights, for `RandomStream.weighted_index`."""
    total, sums = 0.0, []
    for weight in weights:
        total += weight
        sums.append(total)
    return sums
