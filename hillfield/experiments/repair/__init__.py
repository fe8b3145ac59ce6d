"""Experiment `repair`: what must always hold, while things break."""

from hillfield.experiments.repair.measure import measure

__all__ = ('measure',)
