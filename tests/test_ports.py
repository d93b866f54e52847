"""Ports of listeners that are closed and reopened."""

from __future__ import annotations

import socket

import pytest

from testbed.standins import ports


def listen(port: int, reuse: bool) -> socket.socket:
    listener = socket.socket()
    if reuse:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind(("127.0.0.1", port))
    listener.listen()
    return listener


def test_a_port_stays_reserved_while_its_listener_is_closed(monkeypatch: pytest.MonkeyPatch) -> None:
    # Guards against two runs beside each other that are given the same port: one of them could not start.
    port = ports.free_port()
    for _ in range(2):
        listen(port, reuse=True).close()
        with pytest.raises(OSError, match="in use"):
            listen(port, reuse=False)
    monkeypatch.setattr(ports, "FIRST_PORT", port)
    monkeypatch.setattr(ports, "LAST_PORT", port)
    with pytest.raises(OSError, match="no free port"):
        ports.free_port()
