"""A small deployment on loopback: a store, runners, gateways and callers.

The gateways are the project's own program, started as separate processes with the
command of `deploy/system.toml` and settings filled in from `deploy/gateway.ini`. The
store and the runners follow PROTOCOL.md and run in the process of the script.
"""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl

ROOT = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
PATIENCE_S = 3.0
"""Time after which a caller gives up: twice its deadline."""
QUEUE = 24
"""Requests that a runner lets wait beside those that it runs."""
HOST = "shop.example"


def now():
    """Return the monotonic time in seconds."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to `record.txt`."""

    def __init__(self, path):
        self._file = open(path, "w")
        self._start = now()

    def write(self, text):
        """Write a line with the seconds since the start."""
        self._file.write(f"{now() - self._start:8.3f}  {text}\n")
        self._file.flush()

    def close(self):
        """Close the file."""
        self._file.close()


async def read_message(reader):
    """Return the start line, the headers and the body of an HTTP message."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readline()).strip(), 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if not size:
                break
    return lines[0], headers, body


def build_answer(status, headers, body=b""):
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode() + body


ENDS = (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError)


class Store:
    """The platform's store: rows with versions, transactions and feeds."""

    def __init__(self):
        self._rows = {}
        self._log = []
        self._version = 0
        self._changed = asyncio.Event()
        self._server = None
        self.address = ""

    async def start(self, host="127.0.0.1"):
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"

    def close(self):
        """Stop listening."""
        self._server.close()

    def put(self, table, key, value):
        """Write a row from outside; `value` is bytes, or a document."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._version += 1
        self._write(table, "", key, base64.b64encode(data).decode())

    def drop(self, table, key):
        """Remove a row from outside."""
        self._version += 1
        self._remove(table, "", key)

    def _write(self, table, part, key, value):
        row = {"table": table, "part": part, "key": key, "value": value}
        row["ver"] = self._version
        self._rows[table, part, key] = row
        self._publish(row)

    def _remove(self, table, part, key):
        self._rows.pop((table, part, key), None)
        row = {"table": table, "part": part, "key": key, "ver": self._version}
        self._publish(row | {"deleted": True})

    def _publish(self, row):
        self._log.append(row)
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        try:
            while True:
                line, _, body = await read_message(reader)
                await asyncio.sleep(0.004)
                status, answer = await self._answer(line, body)
                data = json.dumps(answer | {"now_ms": int(now() * 1000)}).encode()
                fields = {"Content-Type": "application/json", "Store-Era": "1"}
                writer.write(build_answer(status, fields, data))
                await writer.drain()
        except ENDS:
            writer.close()

    async def _answer(self, line, body):
        _, target, _ = line.split(" ")
        call, _, query = target.partition("?")
        fields = dict(parse_qsl(query, keep_blank_values=True))
        if call == "/-/rows-tx":
            return self._transact(json.loads(body))
        if call == "/-/rows-feed":
            return await self._feed(fields)
        if call == "/-/rows-get":
            return self._get(fields)
        return 404, {}

    def _transact(self, call):
        keys = [
            (each["table"], each.get("part", ""), each["key"])
            for each in call.get("expected", [])
        ]
        for key, each in zip(keys, call.get("expected", []), strict=True):
            row = self._rows.get(key)
            if (row["ver"] if row else 0) != each["ver"]:
                rows = [self._rows[key] for key in keys if key in self._rows]
                return 412, {"rows": rows, "ver": self._version}
        self._version += 1
        for each in call.get("writes", []):
            self._write(each["table"], each.get("part", ""), each["key"], each["value"])
        for each in call.get("remove", []):
            self._remove(each["table"], each.get("part", ""), each["key"])
        return 200, {"ver": self._version}

    def _get(self, fields):
        first, last = fields.get("from", ""), fields.get("to", "")
        limit = min(int(fields.get("limit") or 500), 500)
        rows = sorted(
            (
                row
                for (table, part, key), row in self._rows.items()
                if table == fields["table"]
                and part == fields.get("part", "")
                and key >= first
                and (not last or key < last)
            ),
            key=lambda row: row["key"].encode(),
        )
        more = len(rows) > limit
        return 200, {"rows": rows[:limit], "has_more": more, "ver": self._version}

    async def _feed(self, fields):
        after, until = int(fields["after"]), now() + int(fields["wait_ms"]) / 1000
        while True:
            rows = {}
            for row in self._log:
                if row["ver"] > after and row["table"] == fields["table"]:
                    rows[row["part"], row["key"]] = row
            left = until - now()
            if rows or left <= 0:
                found = sorted(rows.values(), key=lambda row: row["ver"])
                return 200, {"rows": found, "ver": self._version}
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                continue


class Runner:
    """A runner of a plain service, which registers itself and tells its load."""

    def __init__(self, store, record, id, service, zone="a", slots=6, work_s=0.03):
        self.id, self.service, self.zone = id, service, zone
        self.slots, self.work_s = slots, work_s
        self.arrivals = []
        """When it reached the runner, id and status of each request, without health
        checks."""
        self.state = "ready"
        self.state_since = now()
        self.address = ""
        self._store, self._record = store, record
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._server = self._beats = None
        self._writers = set()
        self._places = asyncio.Semaphore(slots)
        self.running = 0
        self._waiting = 0

    async def start(self, host="127.0.0.1"):
        """Listen, and write records from now on."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{host}:{port}"
        self._beats = asyncio.create_task(self._beat())

    def describe(self):
        """Return the entry in the list of runners."""
        return {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "version": "1.0",
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "seq": self._sequence,
            "born": self._born,
        }

    def write_entry(self):
        """Write the entry; the store accepts it at once."""
        self._sequence += 1
        self._store.put("servers", self.id, self.describe())

    def drain(self):
        """Report `draining`; requests are still served."""
        self.state, self.state_since = "draining", now()
        self.write_entry()
        self._record.write(f"store acknowledges: {self.id} is draining")

    async def close(self):
        """Exit: remove the entry, close all connections."""
        if self._beats is not None:
            self._beats.cancel()
            self._store.drop("servers", self.id)
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _beat(self):
        while True:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers, _ = await read_message(reader)
                status, fields, body = await self._run(line, headers)
                writer.write(build_answer(status, fields, body))
                await writer.drain()
        except ENDS:
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _run(self, line, headers):
        if line.split(" ")[1].startswith("/healthz"):
            status = 200 if self.state == "ready" else 503
            fields = {"X-Instance-Id": self.id, "X-Server-Load": self._describe_load()}
            return status, fields, b""
        reached = now()
        request = headers.get("x-request-id", "")
        if not request:
            return self._reject(400, request)
        if headers.get("x-expect-instance", self.id) != self.id:
            return self._reject(421, request)
        if self._waiting >= QUEUE:
            return self._reject(503, request)
        until = now() + float(headers.get("x-deadline-ms", "3600000")) / 1000
        self._waiting += 1
        try:
            async with asyncio.timeout(max(until - now(), 0)):
                await self._places.acquire()
        except TimeoutError:
            return self._reject(503, request)
        finally:
            self._waiting -= 1
        try:
            return await self._work(request, until, reached)
        finally:
            self._places.release()

    async def _work(self, request, until, reached):
        """Run a request, until its deadline at the longest."""
        self.arrivals.append((reached, request, 200))
        self._record.write(f"{self.id} runs {request}")
        self.running += 1
        try:
            await asyncio.sleep(min(self.work_s, max(until - now(), 0)))
        finally:
            self.running -= 1
        status = 200 if now() < until else 504
        return status, self._describe(request), f"{self.id} {request}".encode()

    def _reject(self, status, request):
        """Answer that a request was not run."""
        self.arrivals.append((now(), request, status))
        return status, self._describe(request) | {"X-Not-Executed": "1"}, b""

    def _describe(self, request):
        return {
            "X-Request-Id": request,
            "X-Response-Stamp": f"{self.id}.{request}",
            "X-Server-Load": self._describe_load(),
        }

    def _describe_load(self):
        return f"{self.running},{self._waiting},{self.slots}"


def fill_template(text, fields):
    """Fill in a template as DEPLOY.md tells, as far as `deploy/gateway.ini` needs."""

    def find(path):
        value = fields
        for step in path.split("."):
            if isinstance(value, list):
                value = value[int(step)] if int(step) < len(value) else None
            else:
                value = (value or {}).get(step)
        return value

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(lambda m: m[2] if find(m[1]) else "", text)

    def render(match):
        value = find(match[1])
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", render, text)


class Gateway:
    """One gateway process."""

    def __init__(self, number, store, folder, record, zone="a", host=None, **changes):
        self.name = f"front-{zone}-{number}"
        self.host = host or f"127.71.{os.getpid() % 200 + 1}.{number}"
        self._record = record
        self._ports = _find_ports(self.host, 8)
        bounds = {
            "drain_ms": 2000,
            "config_apply_ms": 2000,
            "retry_budget_ratio": 0.2,
            "retry_budget_extra": 52,
            "budget_window_s": 10,
        }
        fields = {
            "node": self.name,
            "zone": zone,
            "region": "r",
            "ip": self.host,
            "platform": {"addr": store.address},
            "bounds": bounds,
            "listen": {
                "front": f"{self.host}:{self._ports[0]}",
                "ready": f"{self.host}:{self._ports[1]}",
            },
            "internal_ports": [self._ports[2], self._ports[7]],
            "limits": {"link_mbps": 1000.0, "memory_mb": 300},
        } | changes
        template = (ROOT / "deploy" / "gateway.ini").read_text()
        self._settings = Path(folder) / f"{self.name}.ini"
        self._settings.write_text(fill_template(template, fields))
        self._log = Path(folder) / f"{self.name}.log"
        self.process = None

    @property
    def address(self):
        """Return the address for callers."""
        return self.host, self._ports[0]

    async def start(self):
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["LANG"] = "C.UTF-8"
        with open(self._log, "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "mustardquay_node.programs",
                str(self._settings),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"{self.name} starts")

    async def is_ready(self):
        """Ask once whether it is ready, as the platform does."""
        try:
            async with asyncio.timeout(1):
                reader, writer = await asyncio.open_connection(
                    self.host, self._ports[1]
                )
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")
                line, _, _ = await read_message(reader)
                writer.close()
        except (OSError, EOFError, TimeoutError):
            return False
        return " 200 " in line

    async def wait_until_ready(self, seconds=30):
        """Wait until it is ready; returns whether it was in time."""
        until = now() + seconds
        while now() < until:
            if await self.is_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def send_signal(self, number):
        """Send a signal to the process."""
        self._record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def kill(self):
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.returncode is None:
            self.send_signal(signal.SIGKILL)
            await self.process.wait()

    def read_log(self):
        """Return what the process has logged."""
        return self._log.read_text(errors="replace")


def _find_ports(host, count):
    """Return free ports that follow each other."""
    while True:
        opened = []
        try:
            with socket.socket() as probe:
                probe.bind((host, 0))
                first = probe.getsockname()[1]
            for port in range(first, first + count):
                opened.append(socket.socket())
                opened[-1].bind((host, port))
            return list(range(first, first + count))
        except (OSError, OverflowError):
            continue
        finally:
            for each in opened:
                each.close()


class Connection:
    """A caller's kept connection to one gateway."""

    def __init__(self, gateway):
        self._gateway = gateway
        self._reader = self._writer = None
        self._turn = asyncio.Lock()
        self._answers = 0
        """Answers that were received on the connection that is open."""
        self.was_kept = False
        """Whether the last request went on a connection with an earlier answer."""
        self.end = ""
        """How the last request ended: `answered`, `closed` by the gateway with no whole
        answer, `refused` a connection, or `gave up` by the caller."""

    async def call(self, path, request, method="POST", body=b"x"):
        """Send a request; returns status, headers and body, or None without answer."""
        fields = {
            "Host": HOST,
            "X-Request-Id": request,
            "X-Deadline-Ms": "1500",
            "Content-Length": str(len(body)),
        }
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        async with self._turn:
            try:
                async with asyncio.timeout(PATIENCE_S):
                    return await self._exchange(data)
            except TimeoutError:
                self.end = "gave up"
                self.close()
                return None

    async def _exchange(self, data):
        self.was_kept = self._answers > 0
        if self._writer is None:
            try:
                self._reader, self._writer = await asyncio.open_connection(
                    *self._gateway.address
                )
            except OSError:
                self.end = "refused"
                return None
        try:
            self._writer.write(data)
            line, answered, content = await read_message(self._reader)
        except (OSError, EOFError):
            self.end = "closed"
            self.close()
            return None
        self.end = "answered"
        self._answers += 1
        if answered.get("connection", "").lower() == "close":
            self.close()
        return int(line.split(" ")[1]), answered, content

    def close(self):
        """Close the connection."""
        if self._writer is not None:
            self._writer.close()
        self._reader = self._writer = None
        self._answers = 0


def make_configuration(version=1, services=("app",), **changes):
    """Return a configuration with two plain routes to the first service."""
    common = {
        "host": HOST,
        "service": services[0],
        "timeout_ms": 1500,
        "target_latency_ms": 150,
        "priority": 1,
        "session_affinity": False,
    }
    return {
        "version": version,
        "routes": [
            common
            | {"name": "book", "prefix": "/book/", "kind": "non_idempotent"}
            | {"max_attempts": 1},
            common
            | {"name": "look", "prefix": "/look/", "kind": "idempotent"}
            | {"max_attempts": 2},
        ],
        "services": [
            {"name": each, "health_path": "/healthz", "max_conns": 96}
            for each in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
        },
    } | changes


class Site:
    """A store, and gateways whose processes end with the script."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store()
        self.gateways = []
        self.runners = {}

    async def start(self, gateways=3, configuration=None, **changes):
        """Start the store and the gateways; raises `TimeoutError` if not ready."""
        await self.store.start()
        self.store.put("op", "config", configuration or make_configuration())
        for number in range(1, gateways + 1):
            gateway = Gateway(number, self.store, self.folder, self.record, **changes)
            self.gateways.append(gateway)
            await gateway.start()

    async def wait_until_ready(self):
        """Wait for all gateways; raises `TimeoutError` if one is late."""
        for gateway in self.gateways:
            if not await gateway.wait_until_ready():
                raise TimeoutError(f"{gateway.name} is not ready")

    async def add_runner(self, id, service="app", **options):
        """Start a runner."""
        runner = Runner(self.store, self.record, id, service, **options)
        await runner.start()
        self.runners[id] = runner
        return runner

    async def close(self):
        """End all processes and stand-ins."""
        for gateway in self.gateways:
            await gateway.kill()
        for runner in self.runners.values():
            await runner.close()
        if self.store.address:
            self.store.close()
        self.record.close()
        self._temporary.cleanup()


BROKEN, HELD, NOT_RUN = 10, 0, 2
"""Exit codes of a case; `run.sh` turns the first one into 1, and others into 2."""


def play(folder, run):
    """Play a case in a site of its own, and return its exit code.

    `run` gets the site, and returns whether the rule was broken. All processes are
    ended in any case, also when this one gets SIGTERM.
    """

    async def play_once():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        site = Site(folder)
        try:
            return BROKEN if await run(site) else HELD
        except (Exception, asyncio.CancelledError) as error:
            print(f"could not run: {error!r}")
            return NOT_RUN
        finally:
            await site.close()

    return asyncio.run(play_once())
