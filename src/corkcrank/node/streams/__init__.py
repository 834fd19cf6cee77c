"""Calls whose answer is a stream of events: admission, engine choice, relay and resume.

State: one call's progress through its engines, removed when the call ends. Called by ``ingress``;
uses ``stages`` to produce the call's inputs and ``calls`` to send attempts.
"""
