"""Shared parts of the cases 4 to 8: processes, stand-ins of the platform, records.

The gateways are the project's own programs, started with the command of
`deploy/system.toml` and settings made from `deploy/gateway.ini`. The store and the
runners are small stand-ins that speak what PROTOCOL.md says. Needs only Python.
"""

import asyncio
import json
import os
import random
import re
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from base64 import b64encode
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SWITCH_SECONDS = 3.0
HOST = "svc.example"
ENDS = (asyncio.IncompleteReadError, ConnectionError, OSError)

# Bounds of `stm-ostalpen`, a small deployment, as SYSTEM.md gives them.
BOUNDS = {
    "drain_ms": 2000,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "retry_budget_extra": 56,
    "budget_window_s": 10,
    "usage_window_s": 5,
    "usage_late_s": 10,
}


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run to the case's `record.txt`."""

    def __init__(self, path):
        self._file = Path(path).open("w")
        self._began = time.monotonic()

    def note(self, text):
        """Write a line."""
        self._file.write(f"{time.monotonic() - self._began:9.4f} {text}\n")

    def close(self):
        """Close the file."""
        self._file.close()


def _describe(server):
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


def reset(writer):
    """Close a connection so that its peer gets a reset."""
    sock = writer.get_extra_info("socket")
    if sock is None or writer.transport.is_closing():
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def read_message(reader):
    """Return the first line, the headers in lower case and the body of a message."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            line = await reader.readline()
            if not line.strip():
                raise asyncio.IncompleteReadError(line, None)
            size = int(line.strip(), 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif head[0].startswith("HTTP/") and " 204 " not in head[0]:
        body = await reader.read(-1)
    return head[0], headers, body


class Store:
    """The platform's store: rows, transactions, a feed of changes."""

    def __init__(self):
        self.rows = {}
        self.version = 1
        self.log = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = _describe(self._server)

    def close(self):
        """Stop listening."""
        self._server.close()

    def put(self, table, key, value):
        """Write a row, as the operator or a runner does."""
        self.version += 1
        data = json.dumps(value).encode()
        self._apply(table, "", key, b64encode(data).decode())

    def remove(self, table, key):
        """Remove a row, as the platform does."""
        self.version += 1
        self._drop(table, "", key)

    def _apply(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value}
        row["ver"] = self.version
        self.rows[table, part, key] = row
        self._publish(row)

    def _drop(self, table, part, key):
        if self.rows.pop((table, part, key), None) is not None:
            row = {"table": table, "part": part, "key": key, "ver": self.version}
            self._publish(row | {"deleted": True})

    def _publish(self, row):
        self.log.append(row)
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                status, answer = await self._answer(line, body)
                data = json.dumps(answer).encode()
                await asyncio.sleep(0.004)
                writer.write(
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Store-Era: 1\r\nContent-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except ENDS:
            pass
        finally:
            writer.close()

    async def _answer(self, line, body):
        method, target, _ = line.split(" ")
        url = urlsplit(target)
        query = {k: v[0] for k, v in parse_qs(url.query, True).items()}
        if url.path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if url.path == "/-/rows-get":
            return self._get(query)
        if url.path == "/-/rows-feed":
            return await self._feed(query)
        return 404, {}

    def _get(self, query):
        table, part = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit") or 500), 500)
        rows = sorted(
            (
                row
                for (t, p, key), row in self.rows.items()
                if t == table and p == part and key >= low and (not high or key < high)
            ),
            key=lambda row: row["key"].encode(),
        )
        found = {"rows": rows[:limit], "has_more": len(rows) > limit}
        return 200, found | self._stamp()

    def _stamp(self):
        return {"ver": self.version, "now_ms": int(time.monotonic() * 1000)}

    async def _feed(self, query):
        after = int(query["after"])
        end = time.monotonic() + min(int(query.get("wait_ms", 0)), 30_000) / 1000
        while True:
            rows = [
                row
                for row in self.log
                if row["ver"] > after and row["table"] == query["table"]
            ]
            left = end - time.monotonic()
            if rows or left <= 0:
                return 200, {"rows": rows} | self._stamp()
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, call):
        def find(each):
            return self.rows.get((each["table"], each.get("part", ""), each["key"]))

        for each in call.get("expected", []):
            row = find(each)
            if (row["ver"] if row else 0) != each["ver"]:
                return 412, {"rows": [row] if row else []} | self._stamp()
        self.version += 1
        for each in call.get("writes", []):
            self._apply(each["table"], each.get("part", ""), each["key"], each["value"])
        for each in call.get("remove", []):
            self._drop(each["table"], each.get("part", ""), each["key"])
        return 200, self._stamp()


class Runner:
    """A runner whose `serve(request, writer)` answers; one request at a time."""

    def __init__(self, store, id, service, serve, stage=None, slots=64, address=None):
        self.id, self.service, self.stage, self.slots = id, service, stage, slots
        self._store, self._serve_request = store, serve
        self._seq = 0
        self._born = int(time.time() * 1000)
        self._task = None
        self._orders = 0
        self.is_switching = False
        self.is_dark = False
        """Whether it sends nothing, to the store neither."""
        self.version = "1.0"
        """Of the runner's software."""
        self.register_as = address
        self.writers = set()

    async def start(self):
        """Listen on a free port, and write the entry from now on."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = _describe(self._server)
        self._task = asyncio.create_task(self._beat())

    def stop_registering(self):
        """Write the entry no more."""
        self._task.cancel()

    def close(self):
        """Stop listening, and write the entry no more."""
        self._task.cancel()
        self._server.close()

    def register(self):
        """Write the runner's entry."""
        self._seq += 1
        entry = {
            "service": self.service,
            "addr": self.register_as or self.address,
            "zone": "z-a",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "seq": self._seq,
            "born": self._born,
        }
        if self.stage is not None:
            entry |= {"stage": self.stage}
            entry |= {"models": [{"name": "m", "version": 1, "adapters": []}]}
        self._store.put("servers", self.id, entry)

    def begin_again(self):
        """Register as a new start under the same id."""
        self._seq = 0
        self._born = int(time.time() * 1000)
        self.register()

    async def _beat(self):
        while True:
            if not self.is_dark:
                self.register()
            await asyncio.sleep(1.2)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers, body = await read_message(reader)
                while self.is_dark:
                    await asyncio.sleep(0.005)
                method, path, _ = line.split(" ")
                request = {
                    "method": method,
                    "path": path,
                    "headers": headers,
                    "body": body,
                    "id": headers.get("x-request-id", ""),
                    "reader": reader,
                }
                expected = headers.get("x-expect-instance")
                if expected not in (None, self.id):
                    answer(writer, request, 421, b"", {"X-Not-Executed": "1"})
                    continue
                if path == "/-/kv-list":
                    held = {"epoch": 1, "next": 1, "held": []}
                    answer(writer, request, 200, json.dumps(held).encode())
                    continue
                if path == "/-/order":
                    status = self._take_order(json.loads(body))
                    answer(writer, request, status, b"{}")
                    continue
                if self.is_switching and not path.startswith("/-/"):
                    refused = {"X-Not-Executed": "1", "Retry-After": "0.5"}
                    answer(writer, request, 503, b"", refused)
                    continue
                if path == "/-/report":
                    answer(writer, request, 200, json.dumps(self._report()).encode())
                    continue
                await self._serve_request(self, request, writer)
                await writer.drain()
                if writer.transport.is_closing():
                    return
        except ENDS:
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _take_order(self, order):
        """Change the stage, as ordered, within some seconds."""
        if "holder" not in order or "fence" not in order or order["op"] != "stage":
            return 400
        if self.is_switching or order.get("expected", self._orders) != self._orders:
            return 409
        if order["stage"] == self.stage:
            return 200
        self._orders += 1
        self.is_switching = True
        asyncio.create_task(self._switch(order["stage"]))
        return 202

    async def _switch(self, stage):
        await asyncio.sleep(SWITCH_SECONDS)
        self.stage = stage
        self.is_switching = False
        self.register()

    def _report(self):
        return {
            "stage": self.stage or "",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": self.is_switching,
            "seq": self._orders,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 370000,
            "handles": 0,
            "born": self._born,
        }


def head(status, fields):
    """Return the head of an answer."""
    lines = [f"HTTP/1.1 {status} X", *(f"{k}: {v}" for k, v in fields.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def answer(writer, request, status, body, fields=None):
    """Write a whole answer with a length."""
    named = {"X-Request-Id": request["id"], "X-Response-Stamp": "s.1"}
    if status == 421 or "X-Not-Executed" in (fields or {}):
        named.pop("X-Response-Stamp")
    named |= {"Content-Length": str(len(body))} | (fields or {})
    writer.write(head(status, named) + body)


def make_configuration(routes, services, version=7):
    """Return the operator's configuration."""
    return {
        "version": version,
        "routes": [
            {"host": HOST, "priority": 0, "max_attempts": 1, "weighted_backends": []}
            | route
            for route in routes
        ],
        "services": services,
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 1048576,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    }


class Gateways:
    """The gateway processes, as the deploy file starts them."""

    def __init__(self, store, record):
        self._store, self._record = store, record
        self._folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._ports = _find_ports(self._prefix)
        self.processes = {}
        self.addresses = {}

    async def start(self, number, **changes):
        """Start a gateway, and wait until it is ready."""
        ip = f"{self._prefix}.{number}"
        front, ready, peer, metrics = self._ports
        values = {
            "node": f"front-{number}",
            "zone": "z-a",
            "region": "r",
            "ip": ip,
            "bounds": BOUNDS,
            "platform": {"addr": self._store.address},
            "listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"},
            "internal_ports": [peer, metrics],
            "limits": {"link_mbps": 1000.0, "memory_mb": 300},
        } | changes
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = deploy["roles"]["gateway"]
        path = self._folder / f"{number}.ini"
        path.write_text(fill_in((ROOT / role["template"]).read_text(), values))
        words = role["run"].split()
        words = [str(path) if w == "/etc/mustardquay/node.yaml" else w for w in words]
        log = (self._folder / f"{number}.log").open("ab")
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        } | {"PYTHONPATH": str(ROOT / "target/deps")}
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=environment, stdout=log, stderr=log
        )
        log.close()
        self.processes[number] = process
        self.addresses[number] = (ip, front)
        self._record.note(f"gateway {number} started")
        await self._wait_until_ready(number, (ip, ready))
        return self.addresses[number]

    async def _wait_until_ready(self, number, address):
        for _ in range(400):
            if self.processes[number].returncode is not None:
                raise CannotRun(self.read_log(number)[-2000:])
            try:
                reader, writer = await asyncio.open_connection(*address)
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line = await asyncio.wait_for(reader.readline(), 1)
                writer.close()
                if b" 200 " in line:
                    self._record.note(f"gateway {number} ready")
                    return
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.05)
        raise CannotRun(f"gateway {number} is not ready")

    def read_log(self, number):
        """Return what a gateway has written so far."""
        return (self._folder / f"{number}.log").read_text(errors="replace")

    def signal(self, number, name):
        """Send a signal, given by its name."""
        self._record.note(f"gateway {number} gets {name}")
        self.processes[number].send_signal(getattr(signal, name))

    async def close(self):
        """Kill the gateways that run, and remove their files."""
        for process in self.processes.values():
            if process.returncode is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
                await process.wait()
        keep = os.environ.get("KEEP_LOGS")
        for path in self._folder.glob("*"):
            if keep:
                Path(keep, path.name).write_bytes(path.read_bytes())
            path.unlink()
        if self._folder.exists():
            self._folder.rmdir()


def _find_ports(prefix):
    """Return free ports; the one after the third is used by gateways, too."""
    for _ in range(50):
        first = random.randint(20_000, 30_000)
        ports = (first, first + 1, first + 2, first + 10)
        try:
            for port in (*ports, first + 3):
                with socket.socket() as probe:
                    probe.bind((f"{prefix}.1", port))
        except OSError:
            continue
        return ports
    raise CannotRun("no free ports")


def fill_in(template, values):
    """Fill in a template as DEPLOY.md says, as far as the project's one goes."""

    def find(name):
        found = values
        for key in name.split("."):
            if isinstance(found, list):
                found = found[int(key)] if int(key) < len(found) else None
            else:
                found = (found or {}).get(key)
        return found

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if find(m[1]) else "", template)

    def place(match):
        found = find(match[1])
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.]+)\}\}", place, text)


def build_request(method, path, id, fields=None, body=b""):
    """Return a whole request."""
    named = {"Host": HOST, "X-Request-Id": id} | (fields or {})
    if body or method in ("POST", "PUT"):
        named["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in named.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run_case(path, play):
    """Play a case: 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""

    async def main():
        record = Record(path)
        store = Store()
        gateways = Gateways(store, record)
        try:
            async with asyncio.timeout(112):
                await store.start()
                broken = await play(store, gateways, record)
            record.note(f"broken: {broken}")
            print(f"{'BROKEN' if broken else 'held'}: {broken}")
            return 1 if broken else 0
        except (CannotRun, TimeoutError) as error:
            record.note(f"could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        finally:
            await gateways.close()
            store.close()
            record.close()

    try:
        code = asyncio.run(main())
    except Exception as error:
        print(f"could not run: {error!r}")
        code = 2
    sys.stdout.flush()
    os._exit(code)
