"""Replication of state updates and entries between neighbours."""
