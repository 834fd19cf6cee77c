"""Regions and zones."""
