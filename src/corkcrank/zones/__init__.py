"""State and messages of zones, the parts of a region."""
