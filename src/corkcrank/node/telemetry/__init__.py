"""Metrics of a node, and log lines that several jobs share.

State: counters and histograms, and what was logged last. Calls nothing of the node; every
package may call it.
"""
