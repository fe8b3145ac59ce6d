"""Proxy fleet for targets with gray failures."""
