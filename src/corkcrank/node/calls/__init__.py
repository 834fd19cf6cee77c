"""Plain calls, and what every call needs: attempts, workers' answers and shared services.

State: retry budgets and measured times by service, held by ``CallServices`` for all calls of
the node; all other state ends with its call. Called by ``ingress`` and ``streams``.
"""
