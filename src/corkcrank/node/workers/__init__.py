"""HTTP client for workers, and the detection of workers and requests that cause failures.

State: idle connections, outcomes of calls, verdicts on workers and requests. Calls telemetry;
called by the modules that send work to plain workers, engines and stage workers.
"""
