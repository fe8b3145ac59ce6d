"""What templates and client accounts are, and what may stand in them."""
