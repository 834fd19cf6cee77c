"""What nodes tell each other of themselves: heartbeats, and the server that peers ask.

State: when which peer was told and heard; the members themselves are in
:mod:`corkcrank.machines.fleet`. Called by the process; it hands peers' requests to the
owners of stages and engines.
"""
