"""The one source of chance: the same draws from the same seed on every machine and in every language.

Owns the generator. It never reads a clock or the system's randomness, since days are played again from seeds.
"""

import math

GOLDEN = (math.sqrt(5) - 1) / 2  # multiples of it, less their whole parts, lie evenly however many they are


def lcg_step(state: int) -> int:
    """A linear congruential generator; its high bits are used."""
    return (state * 6364136223846793005 + 1442695040888963407) & 0xFFFFFFFFFFFFFFFF


class Rng:
    def __init__(self, seed: int):
        self.state = seed

    def uniform(self) -> float:
        self.state = lcg_step(self.state)
        return (self.state >> 33) / 2147483648.0

    def stratified(self, number: int, mark: int) -> float:
        """A draw that lies as even as can be over the numbers of a tier, at the server of this mark; by
        chance where the number is not known (under 0)."""
        drawn = self.uniform()
        return drawn if number < 0 else (number * GOLDEN + lcg_step(lcg_step(mark)) / 2**64) % 1.0
