"""The decisions on real sockets."""
