"""bellrack: decides where long-lived connections go."""

__version__ = "0.3.0"
