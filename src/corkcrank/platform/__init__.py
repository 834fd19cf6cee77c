"""The users' platform: its names, formats and calls. Nothing here decides anything."""
