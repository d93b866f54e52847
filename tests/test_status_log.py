"""What the log tells of requests that were turned away and of what is held."""

from __future__ import annotations

import logging

import pytest
from net_helpers import FakeServer, host_entry, request, run, running_gateway, until

from coralvale import interface as api
from coralvale.net.memory import ShedStep
from coralvale.net.status_log import Rejection, StatusLog


def test_a_line_sums_up_what_was_turned_away_since_the_one_before() -> None:
    status = StatusLog(interval=10.0)
    status.count(Rejection.CLIENT_LEFT)
    status.count(Rejection.CLIENT_LEFT)
    status.count(Rejection.MEMORY)
    assert status.lines({"requests": 2, "peers MB": 1.25}, {ShedStep.IDLE_CLIENT: 3}) == [
        "held: requests 2, peers MB 1.25",
        "closed or turned away in 10 s: client left 2, memory 1, shed idle clients 3",
    ]
    assert status.lines({"requests": 0}, {}) == ["held: requests 0"]


def test_the_log_names_the_request_the_client_and_the_host_behind_each_end(
    caplog: pytest.LogCaptureFixture, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def test() -> None:
        host = await FakeServer().start()
        async with running_gateway(host_entry("s-1", host.port)) as w:
            w.script.on(api.Request, lambda e: [api.Send(e.id, "s-1", 0.0)])
            w.script.on(api.AttemptDone, lambda e: [api.Fail(e.request)])
            client = await w.client()
            client.send(request("r1"))
            (await host.next_request()).reset()
            assert (await client.receive()).status == 502
            assert (await w.ask(request("r2", Plan="other"))).status == 400
            slow = await w.client()
            slow.send(request("r3")[:-2])
            await until(lambda: w.node.server.receiving)
            w.set_memory_limit(1.0)
            slow.send(b"\r")
            assert (await slow.receive()).status == 503
            await until(lambda: "shed incoming requests 1" in caplog.text)
        host.stop()

    monkeypatch.setattr("coralvale.net.node.STATUS_INTERVAL_S", 0.05)
    with caplog.at_level(logging.INFO):
        run(test())
    assert "request r1: attempt 0 at host s-1 ended as reset after" in caplog.text
    assert "memory limit: refusing a request being received, client 127.0.0.1:" in caplog.text
    assert "closed or turned away in 0.05 s: invalid 1" in caplog.text
    assert "held: client connections " in caplog.text
