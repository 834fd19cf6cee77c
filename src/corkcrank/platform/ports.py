"""Builds the set of platform adapters that the gateway uses."""

import aiohttp

from corkcrank.links.platform_ports import PlatformPorts
from corkcrank.platform import names
from corkcrank.platform.call_headers import PlatformCallCodec
from corkcrank.platform.documents import PlatformDocumentCodec
from corkcrank.platform.features import scheduling_features
from corkcrank.platform.stage_calls import PlatformStageCodec
from corkcrank.platform.store import PlatformStore
from corkcrank.platform.worker_statements import PlatformStatementCodec

SETTINGS_VARIABLE = "CORKCRANK_BOOT"
"""Environment variable that holds the path of the settings file."""


def connect_platform(session: aiohttp.ClientSession, address: str, timeout: float) -> PlatformPorts:
    """Return the adapters for the platform whose store is at ``address``.

    ``timeout`` is that of one store call, in seconds.
    """
    return PlatformPorts(
        calls=PlatformCallCodec(),
        statements=PlatformStatementCodec(),
        stages=PlatformStageCodec(),
        documents=PlatformDocumentCodec(),
        store=PlatformStore(session, address, timeout),
        ready_path=names.READY_PATH,
        features=scheduling_features,
    )
