"""Decisions on where and when work runs: pure, with time and randomness handed in."""
