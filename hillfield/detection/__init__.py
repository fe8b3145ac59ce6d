"""Detection of unhealthy targets from evidence of requests."""
