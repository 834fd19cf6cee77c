"""Messages between nodes, and the HTTP client for requests to other nodes.

State: persistent connections to peers. Calls no other package of the node; called by the owners
of stages and engines, the dispatch of stages, and membership.
"""
