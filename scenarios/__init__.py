"""Scenarios of failures, readable by operators."""
