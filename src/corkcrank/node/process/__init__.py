"""The process of one node: wiring, settings, signals, start, drain, stop, state dump.

State: the life cycle of the process, and the one instance of everything else. Only
``corkcrank.node.program`` calls it; it may call every other package.
"""
