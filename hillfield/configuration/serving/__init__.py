"""The configuration in force at a node."""
