"""Randomized fault-injection soak of gateway processes with simulated back ends, checked live."""
