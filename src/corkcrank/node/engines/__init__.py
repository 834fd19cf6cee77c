"""Prefill grants: the owner of a zone's engines chooses which one reads the next prompt.

State: the outstanding grants, where this node owns a zone's engines. Called by stream runs
through ``CallServices``, and by peers through the peer server of the membership package.
"""
