"""All modules of a node in one file, so that a start reads one."""
