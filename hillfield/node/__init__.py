"""One node: the process that runs on each host."""
