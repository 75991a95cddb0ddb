"""What the balancers of a tier know of each other and of the servers, learned from datagrams alone.

The modules do no I/O: they take bytes and times, and return bytes and changes. No decision about a call
depends on them.
"""
