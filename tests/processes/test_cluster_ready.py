"""A local cluster is ready only when its stand-ins take connections.

The directory of back ends comes from the platform's list, which has them from the start. A
stand-in that was still importing at a machine load of 30 refused connections, and the first calls
of a test ended 3003 (no live back end, Retry-After 1 s): 3 of 44 runs of two tests.
"""

import asyncio

from corkcrank.contracts.result_codes import ResultCode
from corkcrank.load.caller import Caller
from corkcrank.load.local_cluster import LocalCluster, LocalProcess
from small import pipeline_call, small_deployment

LATE = "standin-dossier-encoder"
LATE_SECONDS = 3.0


class LateCluster(LocalCluster):
    """Starts one stand-in later than everything else."""

    def start_process(self, name: str) -> LocalProcess:
        if name == LATE:
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_SECONDS, super().start_process, name)
            return LocalProcess(name, "standin", "", "", None)  # type: ignore[arg-type]
        return super().start_process(name)


async def test_the_first_call_of_a_cluster_finds_its_back_ends() -> None:
    deployment = small_deployment(machines=1)
    async with LateCluster(deployment) as cluster:
        caller = Caller(cluster.session, deployment.configuration())
        address = cluster.gateways()[0].caller_address
        record = await caller.send(pipeline_call(deployment, 1), address)
        assert record.code == ResultCode.OK.number
