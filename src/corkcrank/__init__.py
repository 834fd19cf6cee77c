"""Serving system for multi-stage model pipelines under paid priority tiers."""

__version__ = "0.1.0"
