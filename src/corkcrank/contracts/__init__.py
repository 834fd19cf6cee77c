"""Data types shared by all programs: configuration, requests, workers, result codes, settings."""
