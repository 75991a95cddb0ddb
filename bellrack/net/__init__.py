"""The balancer on sockets: connections, discovery, operators' requests, hot restart."""
