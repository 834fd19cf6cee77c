"""Decides where and when work runs. Pure code: callers pass in the time and random source."""
