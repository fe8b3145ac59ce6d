"""Templates and client accounts as TOML files."""
