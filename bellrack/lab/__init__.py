"""The lab: simulates the systems that bellrack serves, to measure builds under injected faults.

The daemon imports nothing of it. Its command line is `bellrack lab`, its documentation docs/lab.md.
"""
