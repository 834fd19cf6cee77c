"""Rate limits of workers: the limits in force, and grants for requests to limited workers.

State: the requests that this node granted as owner of a zone, and its local send slots at workers
of other zones. Calls workers and peers. Called by the modules that choose a worker, and by peers
through membership.
"""
