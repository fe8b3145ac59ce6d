"""What the fleet needs at its design size, measured on one machine."""
