"""Which engine of a zone reads the next prompt: its owner's grants, and requests for them.

State: the grants that are not yet done, where this node owns a zone's engines. Called by
the runs of streams through ``CallServices``, and by peers through membership.
"""
