"""Prefill grants: the owner of a zone's engines chooses which one reads the next prompt.

State: the outstanding grants for engines of zones that this node owns. Called by stream runs
through ``CallServices``, and by peers through the peer server of the membership package.
"""
