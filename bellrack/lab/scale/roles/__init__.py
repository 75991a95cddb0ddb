"""Measures what each role of a balancer costs by itself: a module each, and the command `lab scale roles`."""

from bellrack.lab.scale.roles.command import ROLES, main

__all__ = ["ROLES", "main"]
