"""Commands that check and change templates and client accounts."""
