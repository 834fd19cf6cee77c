"""Stages of calls: the owner's queues and batches, and the caller's side that asks owners.

State: a queue for each stage worker that this node owns, the batches in flight, and the
results that workers hold for calls. Called by streams, engines and membership; it may call
peers and workers.
"""
