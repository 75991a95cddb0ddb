"""The pseudo-random generator of the decisions.

The same seed gives the same draws on every machine and in every language. It reads neither a clock nor the
system's randomness, so that a recorded run can be replayed from its seeds.
"""

import math

GOLDEN_RATIO = (math.sqrt(5) - 1) / 2  # its multiples modulo 1 are evenly spread, however many there are


def lcg_step(state: int) -> int:
    """Returns the next 64-bit state of a linear congruential generator; callers use its high bits."""
    return (state * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF


class Rng:
    """A seeded stream of numbers in [0, 1)."""

    def __init__(self, seed: int):
        self.state = seed

    def uniform(self) -> float:
        """Returns the next draw, in [0, 1)."""
        self.state = lcg_step(self.state)
        return (self.state >> 33) / 2147483648.0

    def stratified(self, number: int, id_hash: int) -> float:
        """Returns a value in [0, 1) that is spread as evenly as possible over the balancers of a tier.

        `number` is this balancer's number among its peers, `id_hash` the server that the value is for. If the
        number is unknown (below 0) the value is a plain draw. Either way one draw is consumed.
        """
        drawn = self.uniform()
        return drawn if number < 0 else (number * GOLDEN_RATIO + lcg_step(lcg_step(id_hash)) / 2**64) % 1.0
