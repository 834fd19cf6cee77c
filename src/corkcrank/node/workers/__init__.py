"""HTTP to workers: one request, one answer or one failure, and the detection of outliers.

State: kept connections, outcomes of calls, verdicts. Calls telemetry; called by whatever sends work
to plain workers, engines and stage workers.
"""
