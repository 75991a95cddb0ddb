"""bellrack: a balancer for long-lived connections."""

__version__ = "0.3.0"
