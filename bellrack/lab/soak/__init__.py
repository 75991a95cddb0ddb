"""A randomized fault soak: real balancer processes on loopback under overlapping troubles.

`plan` draws troubles and clients from a seed, `driver` plays them, `oracle` judges the recorded events by
the four rules. The balancers run with `faulty` (clock, network and disk faults inside the process);
`servers`, `proxy` and `discovery` are further processes. See `python -m bellrack.lab.soak --help`.
"""
