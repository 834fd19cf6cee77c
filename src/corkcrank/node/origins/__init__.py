"""Which software began each stream, known to every gateway that a caller may resume it at.

State: the origins of streams that this gateway began or keeps for others. Calls peers; called by
streams, and by peers through membership.
"""
