"""Steps of the scenarios."""
