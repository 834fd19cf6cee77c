"""The stages of calls: queues and batches at a pool's owner, and requests of callers to owners.

State: a queue for each stage worker that this node owns, the batches in flight, and the results
that workers store for calls. Used by streams, engines and membership; uses peers and workers.
"""
