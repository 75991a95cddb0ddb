"""Scale runs: hundreds to thousands of hollow balancers in one process, and the cost of each role."""
