"""Claims of refused callers to be served first when they return at the time that they were told.

State: the claims that this gateway keeps for its share of requests, and the slots that it has
assigned. Calls peers and stages; called by calls, and by peers through membership.
"""
