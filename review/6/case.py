"""Clients of an ordinary HTTP library offer HTTP/2 with their requests, as HTTP/1.1 lets them.

Checked: hosts get each body as its client sent it, and each request has exactly one answer, its own.
"""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "common_2"))

from stand_ins import (  # noqa: E402
    Arrival,
    CannotRun,
    Counter,
    Discovery,
    GatewayProcess,
    Host,
    Record,
    class_setting,
    main,
    plan_setting,
    read_body,
    read_head,
    request,
    response,
    settings,
)

GATEWAYS, HOSTS = 2, 9
REQUESTS = 240
INTERVAL_S = 0.03
TIMEOUT_S = 3.0
SERVICE_S = 0.03
EXTRA_S = 0.3  # after an answer, in which nothing more may come
# What RFC 7540, 3.2, has a client send that would go on with HTTP/2 if the server took it up.
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAMAAABkAARAAAAAAAIAAAAA\r\n"


async def play(folder: Path, temporary: Path, record: Record, trouble: bool) -> bool:
    sent, faults = dict[str, bytes](), list[str]()
    counts = {"served": 0, "with an offer": 0}

    def fault(text: str) -> None:
        faults.append(text)
        record.add(f"FAULT: {text}")

    async def handle(arrival: Arrival, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        body = sent.get(arrival.id)
        record.add(f"{arrival.host.name} runs {arrival.id} with a body of {len(arrival.body)} bytes")
        if body is None:
            fault(f"a host got {arrival.id!r}, which no client sent")
        elif body != arrival.body:
            fault(f"{arrival.id}: the client sent {len(body)} bytes, the host ran {len(arrival.body)}")
        await asyncio.sleep(SERVICE_S)
        digest = hashlib.sha256(arrival.body).hexdigest()
        writer.write(response(200, f"{arrival.id} {digest}".encode()))
        return True

    hosts = [Host(f"h{i}", handle, group=i // 3) for i in range(HOSTS)]
    discovery, counter = Discovery(), Counter()
    for server in (*hosts, discovery, counter):
        await server.start()
    for host in hosts:
        discovery.set(host.entry())
    classes = [
        class_setting("single-frame", 0.75, 2.0, "free", late_value=0.2),
        class_setting("poster-set", 2.5, 7.5, "guarded", group="cell", key_ttl_s=5.0, late_value=0.2),
    ]
    gateways = []
    for i in range(GATEWAYS):
        config = {
            "discovery": f"127.0.0.1:{discovery.port}", "counter": f"127.0.0.1:{counter.port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "known": discovery.snapshot(),
            "settings": settings(i, GATEWAYS, classes, [plan_setting("pro", 100.0, 300.0)]),
        }  # fmt: skip
        gateways.append(GatewayProcess(i, temporary, config, record))

    async def ask(number: int) -> None:
        id_, keyed, offers = f"r{number}", number % 2 == 0, trouble and number % 3 == 0
        body = hashlib.sha256(id_.encode()).digest() * 8 if keyed else b""
        sent[id_] = body
        data = request(
            id_, "poster-set" if keyed else "single-frame", "pro", number % 20, 1, TIMEOUT_S, GATEWAYS,
            method="POST" if keyed else "GET", key=f"k{id_}" if keyed else "", body=body,
        )  # fmt: skip
        if offers:
            data = data.replace(b"Host: service.internal\r\n", b"Host: service.internal\r\n" + OFFER, 1)
            counts["with an offer"] += 1
        record.add(f"client sends {id_}, {len(body)} bytes{', offering HTTP/2' if offers else ''}")
        reader, writer = await asyncio.open_connection("127.0.0.1", gateways[number % GATEWAYS].port)
        try:
            async with asyncio.timeout(TIMEOUT_S + 0.5):
                writer.write(data)
                start_line, headers = await read_head(reader)
                answer = await read_body(reader, headers)
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            fault(f"{id_}: no answer ({type(error).__name__})")
            return
        status = start_line.split(" ")[1]
        record.add(f"client got {status} for {id_}")
        if status == "200":
            counts["served"] += 1
            if answer != f"{id_} {hashlib.sha256(body).hexdigest()}".encode():
                fault(f"{id_}: served with an answer that was not made for what it sent")
        with contextlib.suppress(OSError, TimeoutError):
            more = await asyncio.wait_for(reader.read(1000), EXTRA_S)
            if more:
                fault(f"{id_}: after its answer came another, {more[:12].decode()}")
        writer.close()

    try:
        await asyncio.gather(*(gateway.start() for gateway in gateways))
        tasks = []
        for number in range(1, REQUESTS + 1):
            tasks.append(asyncio.create_task(ask(number)))
            await asyncio.sleep(INTERVAL_S)
        await asyncio.gather(*tasks)
        if counts["served"] < REQUESTS // 2:
            raise CannotRun(f"only {counts['served']} of {REQUESTS} requests were served")
        record.add(f"{REQUESTS} requests, {counts}, {len(faults)} faults")
        print(record.lines[-1])
        for text in faults[:4]:
            print(text)
        return bool(faults)
    finally:
        for gateway in gateways:
            await gateway.stop()
        for server in (*hosts, discovery, counter):
            server.stop()


main(play)
