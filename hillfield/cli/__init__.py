"""Cli of hillfield."""
