"""Experiments on real nodes under more load than targets bear."""
