"""Plain calls, and the parts common to all calls: attempts, workers' answers, shared services.

State: retry budgets and measured times by service, held by ``CallServices`` for all calls of
the node; all other state ends with its call. Called by ``ingress`` and ``streams``.
"""
