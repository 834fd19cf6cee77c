"""Entry point of calls: reads head and body, finds route and tenant, and starts the run.

State: the calls being served, which a stop of the gateway needs. Called by the callers' server;
calls the runs of plain calls and of streams.
"""
