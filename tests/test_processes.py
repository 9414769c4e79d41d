"""A site of separate processes, managed with the operators' command."""

import json
import os
import signal
import socket
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from urllib.request import Request, urlopen

import pytest

from mustardquay_standins.sites import EXAMPLES

SITE = EXAMPLES / "syndesmos"
OPERATOR_KEY = "syndesmos-example-operator-key"
CALLER_KEY = "syndesmos-example-host-desk-key"
TIMEOUT = 60
"""Seconds after which a process that does not respond fails the test."""


class Processes:
    """Starts processes and writes their output to files."""

    def __init__(self, folder: Path, stack: ExitStack):
        self._folder = folder
        self._stack = stack
        self.running: dict[str, subprocess.Popen] = {}

    def start(self, name: str, module: str, *arguments: object) -> None:
        output = self._stack.enter_context(self.get_log(name).open("wb"))
        command = [sys.executable, "-m", module, *map(str, arguments)]
        process = subprocess.Popen(command, stdout=output)
        self.running[name] = process
        self._stack.callback(process.wait, TIMEOUT)
        self._stack.callback(process.kill)

    def get_log(self, name: str) -> Path:
        return self._folder / f"{name}.log"

    def stop(self, name: str) -> int:
        process = self.running[name]
        process.send_signal(signal.SIGTERM)
        return process.wait(TIMEOUT)


def reserve_ports(count: int) -> list[int]:
    """Return free ports below those that the system uses for outgoing connections.

    Otherwise another test could take one before the process listens on it.
    """
    ports = []
    port = 20_000 + os.getpid() % 100 * 100
    while len(ports) < count:
        port += 1
        try:
            socket.create_server(("127.0.0.1", port)).close()
            ports.append(port)
        except OSError:
            continue
    return ports


def send_request(method: str, url: str, body: object = None, key: str = "") -> tuple:
    data = None if body is None else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {key}", "Idempotency-Key": "k-1"}
    request = Request(url, data, headers, method=method)
    with urlopen(request, timeout=TIMEOUT) as response:
        return response.headers["Mustardquay-Outcome"], response.read()


def wait_until(condition) -> None:
    """Poll until the condition holds; fail after the timeout."""
    end = time.monotonic() + TIMEOUT
    while time.monotonic() < end:
        try:
            if condition():
                return
        except OSError:
            pass
        time.sleep(0.05)
    pytest.fail("A process was not ready in time.")


def run_command(admin: list[str], *arguments: object) -> str:
    environment = os.environ | {
        "MUSTARDQUAY_ADMIN": " ".join(admin),
        "MUSTARDQUAY_KEY": OPERATOR_KEY,
    }
    code = "from mustardquay_cli.commands import main; main()"
    command = [sys.executable, "-c", code, *map(str, arguments)]
    result = subprocess.run(
        command, capture_output=True, text=True, timeout=TIMEOUT, env=environment
    )
    assert result.returncode == 0, result.stderr
    return result.stdout


def write_settings(folder: Path, ports: dict[str, int]) -> dict[str, list[Path]]:
    """Return the settings files of each process; the last has the ports of this run."""
    platform = "".join(
        f"{name} = http://127.0.0.1:{ports[name]}\n"
        for name in ("tables", "objects", "instances")
    )
    files = {}
    for name, upstream in (
        ("agent-assistant-1", "engine"),
        ("agent-bookings-1", "service"),
        ("entry-1", ""),
    ):
        section = "agent" if upstream else "entry"
        lines = [
            f"[platform]\n{platform}",
            f"[node]\nadmin_port = {ports['admin-' + name]}\n",
            f"[{section}]\nport = {ports[name]}\n",
        ]
        if upstream:
            lines.append(f"upstream = http://127.0.0.1:{ports[upstream]}\n")
        own_settings = folder / f"{name}.ini"
        own_settings.write_text("".join(lines))
        files[name] = [
            SITE / "common.ini",
            SITE / "processes" / f"{name}.ini",
            own_settings,
        ]
    return files


def list_instances(ports: dict[str, int]) -> dict:
    return {
        "instances": [
            {
                "name": name,
                "kind": name.partition("-")[0],
                "address": "127.0.0.1",
                "port": ports[name] if name.startswith("agent") else 0,
                "availability_zone": "attiki-a",
                "state": "live",
            }
            for name in ("agent-assistant-1", "agent-bookings-1", "entry-1")
        ]
    }


@pytest.fixture
def site(tmp_path):
    """Provide a site of seven processes that is ready, and its ports."""
    standins = ("tables", "objects", "weights", "instances", "engine", "service")
    nodes = ("agent-assistant-1", "agent-bookings-1", "entry-1")
    names = (*standins, *nodes, *(f"admin-{node}" for node in nodes))
    ports = dict(zip(names, reserve_ports(len(names)), strict=True))
    files = write_settings(tmp_path, ports)
    with ExitStack() as stack:
        processes = Processes(tmp_path, stack)
        options = [word for name in standins[:4] for word in (f"--{name}", ports[name])]
        processes.start("platform", "mustardquay_standins.platforms", *options)
        upstream = "mustardquay_standins.upstreams"
        model = ("--model", "booth-assistant")
        processes.start("engine", upstream, "--port", ports["engine"], *model)
        service = ("--kind", "service", "--port", ports["service"])
        processes.start("service", upstream, *service)
        listed = f"http://127.0.0.1:{ports['instances']}/instances"
        wait_until(lambda: send_request("PUT", listed, list_instances(ports)))
        for name in nodes:
            processes.start(name, "mustardquay_node.programs", *files[name])
        for name in nodes:
            ready = f"http://127.0.0.1:{ports['admin-' + name]}/readyz"
            wait_until(lambda url=ready: send_request("GET", url))
        # The entry is ready with its first upstream, but the test calls both.
        status = f"http://127.0.0.1:{ports['admin-entry-1']}/admin/status"
        wait_until(lambda: count_ready(status) == 2)
        yield processes, ports


def count_ready(status: str) -> int:
    """Return the number of ready upstreams in the entry's status."""
    _, answer = send_request("GET", status, key=OPERATOR_KEY)
    upstreams = json.loads(answer)["upstreams"]
    return sum(upstream["state"] == "ready" for upstream in upstreams)


def test_a_site_of_separate_processes_is_managed_by_the_command(site, tmp_path):
    # An operator applies a contract to processes that were started with their settings
    # alone, and callers are served. Each process then stops gracefully, and the
    # timeline from their logs is the same as that of the running processes.
    processes, ports = site
    nodes = ("entry-1", "agent-assistant-1", "agent-bookings-1")
    admin = [f"http://127.0.0.1:{ports['admin-' + name]}" for name in nodes]
    contract = tmp_path / "contract.ini"
    example = (SITE / "contracts" / "host-desk.ini").read_text()
    contract.write_text(example.replace("host-replies", ""))
    run_command(admin, "contract", "apply", contract, "--wait")
    entry = f"http://127.0.0.1:{ports['entry-1']}"
    body = {
        "model": "booth-assistant",
        "messages": [{"role": "user", "content": "Which booth?"}],
        "max_tokens": 5,
    }
    chat = f"{entry}/v1/chat/completions"
    outcome, answer = send_request("POST", chat, body, CALLER_KEY)
    assert outcome == "answered"
    assert json.loads(answer)["usage"]["completion_tokens"] == 5
    booking = f"{entry}/services/bookings/bookings"
    first = send_request("POST", booking, {"booth": 3}, CALLER_KEY)
    assert first[0] == "answered"
    assert send_request("POST", booking, {"booth": 3}, CALLER_KEY) == first
    live = run_command(admin, "timeline", "--customer", "host-desk")
    assert [processes.stop(name) for name in nodes] == [0, 0, 0]
    logs = [word for name in nodes for word in ("--log", processes.get_log(name))]
    assert run_command([], "timeline", "--customer", "host-desk", *logs) == live
    kinds = [line.split()[2] for line in live.splitlines()]
    assert kinds.count("attempt.started") == 2
    assert kinds[0] == "request.arrived"
