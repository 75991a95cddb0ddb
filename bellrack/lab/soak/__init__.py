"""A randomized fault soak: real balancer processes on the loopback interface under overlapping troubles.

`plan` draws troubles and client requests from a seed, `driver` runs them, and `oracle` checks the recorded
events against the four rules. The balancers run under `faulty`, which injects faults of the clock, the
network and the disk into the process; `servers`, `proxy` and `discovery` are processes of their own. See
`python -m bellrack.lab.soak --help`.
"""
