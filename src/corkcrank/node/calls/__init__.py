"""Plain calls, and what serving any call needs: attempts, workers' answers, shared services.

State: retry budgets and measured times by service, kept by ``CallServices`` for all calls
of the node; the rest lives as long as its call. Called by ingress and by streams.
"""
