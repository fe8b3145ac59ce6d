"""The users' platform: names, formats and calls, nothing that decides."""
