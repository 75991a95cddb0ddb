"""Runs the decisions behind the binary protocol of the simulator, and tools for its recorded runs."""
