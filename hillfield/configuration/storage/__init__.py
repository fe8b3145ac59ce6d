"""The configuration as it lies in the store."""
