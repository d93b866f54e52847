"""A gateway process under hostile clients: its memory, and what its usual clients get."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from testbed.hostile.clients import Kind
from testbed.hostile.scene import LARGE_RESPONSE_BYTES, Scene
from testbed.soak.__main__ import build

# The least memory and the most descriptors that the deployment page names.
MEMORY_MB, DESCRIPTORS = 32, 1024
LARGE_MEMORY_MB = 192
SECONDS = 4.0  # longer than a request may take to arrive, so that connections are replaced
MIN_SERVED_SHARE = 0.5  # of the usual requests, as the standing test asks


@pytest.fixture(scope="module", autouse=True)
def built() -> None:
    build()


def play(
    folder: Path, kind: Kind, connections: int, memory_mb: int = MEMORY_MB, response_bytes: int = 0
) -> Scene:
    """Presses on a gateway; returns the scene, after a check that its process and its memory held out."""
    scene = Scene(folder, memory_mb, DESCRIPTORS, response_bytes)

    async def run() -> None:
        async with scene:
            await scene.press(kind, connections, SECONDS)
            assert scene.gateway.is_running, scene.log()
            assert scene.memory().peak_private <= memory_mb * 1024 * 1024
            assert "Traceback" not in scene.log() and " ERROR " not in scene.log()

    asyncio.run(run())
    return scene


def check_answers(scene: Scene) -> None:
    """Each usual request got its final answer in its time, and enough were served."""
    answers = scene.answers
    assert not answers.lost and not answers.failed
    assert answers.served >= MIN_SERVED_SHARE * answers.total > 0


# Guards against a gateway that many slow or silent clients take past its memory limit.
@pytest.mark.parametrize(
    "kind",
    [
        Kind.STALLED_BODY,
        Kind.TRICKLED_BODY,
        Kind.UNFINISHED_HEAD,
        Kind.PIPELINED_LARGE,
        Kind.UNREAD_RESPONSES,
    ],
)
def test_hundreds_of_slow_clients_do_not_take_a_gateway_past_its_memory(tmp_path: Path, kind: Kind) -> None:
    check_answers(play(tmp_path, kind, 600, response_bytes=LARGE_RESPONSE_BYTES))


# Guards against one client's requests keeping all others waiting, or filling the memory.
@pytest.mark.parametrize(
    "kind", [Kind.FLOOD_UP, Kind.FLOOD_UNKNOWN_PATH, Kind.FLOOD_UNSOUND, Kind.FLOOD_FIELDS]
)
def test_a_flood_on_one_connection_keeps_no_other_client_waiting(tmp_path: Path, kind: Kind) -> None:
    check_answers(play(tmp_path, kind, 1))


# Guards against the memory of connections that end and come anew by the hundreds, at full speed.
def test_hundreds_of_floods_do_not_take_a_gateway_past_its_memory(tmp_path: Path) -> None:
    check_answers(play(tmp_path, Kind.FLOOD_UNKNOWN_PATH, 400))


# Guards against a customer's record kept for each new name, and against the time that they all take.
@pytest.mark.parametrize(("connections", "memory_mb"), [(1, MEMORY_MB), (8, LARGE_MEMORY_MB)])
def test_a_flood_of_new_customers_keeps_no_other_client_waiting(
    tmp_path: Path, connections: int, memory_mb: int
) -> None:
    check_answers(play(tmp_path, Kind.FLOOD_NEW_CUSTOMERS, connections, memory_mb))
