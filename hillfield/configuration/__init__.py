"""Configuration: templates and client accounts, and how they come in force."""
