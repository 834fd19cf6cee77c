"""The process of one node: wiring, settings, signals, start, drain, stop, state dump.

State: the life cycle of the process, and the single instance of each component. Only
``corkcrank.node.program`` calls this package; it may call every other package.
"""
