"""The soak's gateway processes: signals and what the system tells of them."""

from __future__ import annotations

import os
import subprocess
from pathlib import Path
from types import SimpleNamespace

from testbed.soak.gateways import GatewayProcess


def gateway_process(child: subprocess.Popen[bytes], folder: Path) -> GatewayProcess:
    gateway = GatewayProcess(0, folder, dict, lambda entry: None)
    gateway.process = SimpleNamespace(  # type: ignore[assignment]
        pid=child.pid, returncode=None, send_signal=child.send_signal
    )
    return gateway


def test_a_signal_to_a_process_that_has_just_ended_leaves_its_exit_code_to_be_read(tmp_path: Path) -> None:
    # Guards against a false CRASH with code 255: the exit code was read, and dropped, as the signal was sent.
    child = subprocess.Popen(["true"])
    os.waitid(os.P_PID, child.pid, os.WEXITED | os.WNOWAIT)
    gateway_process(child, tmp_path).signal("SIGTERM")
    assert os.waitpid(child.pid, 0) == (child.pid, 0)
    child.returncode = 0


def test_the_time_waited_for_a_processor_is_known_while_the_process_runs(tmp_path: Path) -> None:
    # Guards against false alarms on a busy machine, where a gateway is late without any fault of its own.
    with subprocess.Popen(["cat"], stdin=subprocess.PIPE) as child:
        gateway = gateway_process(child, tmp_path)
        _, waited_ns, _ = Path(f"/proc/{child.pid}/schedstat").read_text().split()
        assert gateway.time_waited_for_cpu() >= int(waited_ns) / 1e9
    assert gateway.time_waited_for_cpu() == 0.0
