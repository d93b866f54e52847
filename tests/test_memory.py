"""What is held for peers is freed."""

from __future__ import annotations

import gc
import weakref
from typing import Any

from net_helpers import FakeServer, host_entry, http_response, request, run, running_gateway, until

from coralvale import interface as api


# Guards against ended connections kept, by a cycle of references, until the next full garbage collection.
def test_an_ended_connection_is_freed_without_garbage_collection() -> None:
    async def test() -> None:
        host = await FakeServer(http_response()).start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            client = await w.client()
            assert (await client.ask(request("r1"))).status == 200
            ended: list[weakref.ref[Any]] = [weakref.ref(each) for each in w.node.server.connections]
            ended += [weakref.ref(each) for each in w.node.upstreams.connections]
            gc.collect()
            gc.disable()
            try:
                client.close()
                host.stop()
                await until(lambda: all(reference() is None for reference in ended))
                assert len(ended) == 2
            finally:
                gc.enable()

    run(test())
