"""Messages between nodes, and the client that asks other nodes.

State: kept connections to peers. Calls nothing of the node; called by the owners of stages
and engines, the dispatch of stages, and membership.
"""
