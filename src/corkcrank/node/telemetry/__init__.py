"""Metrics of a node, and log writers that several packages share.

State: counters and histograms, and the values that were logged last. Calls no other package of
the node; every package may call it.
"""
