"""Stand-ins of the platform, engines, plain servers and clients, and VMs as separate processes, for the scripts of this review.

Everything runs on loopback addresses and the real clock. The stand-ins do what PROTOCOL.md says and nothing else, unless a
case asks them for a disruption.
"""

import asyncio
import base64
import json
import os
import random
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
PROGRAM = ROOT / "target/release/lavenderwoodd"
METRICS_PORT = 9464  # as in deploy/system.toml
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be set up."""


# HTTP


def parse_head(raw):
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += data[:-2]
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read(-1) if until_end else b""


class Request:
    def __init__(self, method, target, headers, body, writer):
        self.method, self.target, self.headers, self.body, self.writer = method, target, headers, body, writer
        self.path, _, query = target.partition("?")
        self.query = dict(part.partition("=")[::2] for part in query.split("&") if part)


def head(status, headers):
    reason = {200: "OK", 202: "Accepted", 404: "Not Found", 503: "Service Unavailable"}.get(status, "Status")
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{name}: {value}" for name, value in headers.items()]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


class Server:
    """An HTTP/1.1 server. Its handler returns (status, headers, body), or None if it has written its answer itself."""

    def __init__(self, handler, ip="127.0.0.1"):
        self.handler, self.ip = handler, ip
        self.writers = set()

    async def start(self, port=0):
        self.server = await asyncio.start_server(
            self.serve, self.ip, port, limit=1 << 20, backlog=1024, reuse_address=True
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.addr = f"{self.ip}:{self.port}"
        return self

    def stop(self):
        """Ends the server as a crash does: its connections are reset."""
        self.server.close()
        for writer in list(self.writers):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                try:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                except OSError:
                    pass
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                raw = await reader.readuntil(b"\r\n\r\n")
                line, headers = parse_head(raw[:-4])
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                answer = await self.handler(Request(method, target, headers, body, writer))
                if answer is not None:
                    status, extra, body = answer
                    writer.write(head(status, {**extra, "Content-Length": len(body)}) + body)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, ValueError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Answer:
    """What a client got. `status` is None if there was no answer head, `is_complete` is False if the body broke off."""

    def __init__(self, status=None, headers=None, body=b"", is_complete=False, error="", seconds=0.0):
        self.status, self.headers, self.body = status, headers or {}, body
        self.is_complete, self.error, self.seconds = is_complete, error, seconds


async def call(addr, method, path, headers, body=b"", timeout=10.0, conn=None):
    """Sends one request, on a connection of its own unless `conn` = (reader, writer) is given."""
    began = time.monotonic()
    answer = Answer()
    own = None
    try:
        async with asyncio.timeout(timeout):
            if conn is None:
                host, port = addr.rsplit(":", 1)
                own = conn = await asyncio.open_connection(host, int(port), limit=1 << 20)
            reader, writer = conn
            headers = dict(headers)
            if body or method == "POST":
                headers["Content-Length"] = len(body)
            lines = [f"{method} {path} HTTP/1.1"] + [f"{name}: {value}" for name, value in headers.items()]
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            await writer.drain()
            raw = await reader.readuntil(b"\r\n\r\n")
            line, answer.headers = parse_head(raw[:-4])
            answer.status = int(line.split(" ")[1])
            answer.body = await read_body(reader, answer.headers, until_end=True)
            answer.is_complete = True
    except (asyncio.TimeoutError, TimeoutError):
        answer.error = "timeout"
    except (asyncio.IncompleteReadError, ConnectionError, OSError, ValueError, IndexError) as e:
        answer.error = f"{type(e).__name__}: {e}"
    finally:
        answer.seconds = time.monotonic() - began
        if own is not None:
            own[1].close()
    return answer


# The platform's store


class Store:
    """The platform's key-value store: revisions, leases, watches and conditional writes."""

    HISTORY_S = 20.0

    def __init__(self, ip="127.0.0.1"):
        self.revision = 100
        self.items = {}  # key -> [value, revision, created, lease]
        self.leases = {}  # id -> [end, ttl]
        self.history = []  # (time, revision, event)
        self.compacted = 100
        self.changed = asyncio.Event()
        self.cuts = 0
        self.calls = 0
        self.server = Server(self.handle, ip)
        self.log = []  # (time, key, value) of accepted writes of the system

    async def start(self):
        await self.server.start()
        self.addr = self.server.addr
        self.ticker = asyncio.create_task(self.tick())
        return self

    async def tick(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease in [lease for lease, (end, _) in self.leases.items() if now >= end]:
                self.end_lease(lease)
            while self.history and self.history[0][0] < now - self.HISTORY_S:
                self.compacted = self.history.pop(0)[1]

    def end_lease(self, lease):
        del self.leases[lease]
        keys = [key for key, item in self.items.items() if item[3] == lease]
        if keys:
            self.revision += 1
        for key in keys:
            self.erase(key)

    def publish(self, event):
        self.history.append((time.monotonic(), self.revision, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def erase(self, key):
        del self.items[key]
        self.publish({"Key": key, "Revision": self.revision, "Removed": True})

    def assign(self, key, value, lease):
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = [value, self.revision, created, lease]
        self.publish(self.row(key))

    def row(self, key):
        value, revision, created, lease = self.items[key]
        value = base64.b64encode(value).decode()
        return {"Key": key, "Value": value, "Revision": revision, "Created": created, "Lease": lease}

    def put(self, key, value):
        """A write of the operator or of an engine. Returns its confirmation, the revision."""
        self.revision += 1
        self.assign(key, json.dumps(value).encode(), 0)
        return self.revision

    def remove(self, key):
        if key in self.items:
            self.revision += 1
            self.erase(key)

    def cut_watches(self):
        """Ends all watches that wait now: their channels are closed without an answer."""
        self.cuts += 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def handle(self, request):
        self.calls += 1
        status, body = await self.answer(request)
        return status, {"Content-Type": "application/json", "Store-Era": "1"}, json.dumps(body).encode()

    async def answer(self, request):
        from urllib.parse import unquote

        path = request.path
        query = {name: unquote(value) for name, value in request.query.items()}
        if path == "/api/kv-key":
            key = query.get("Key", "")
            return (200, {**self.row(key), "AsOf": self.revision}) if key in self.items else (404, {})
        if path == "/api/kv-range":
            keys = sorted(key for key in self.items if key.startswith(query.get("Prefix", "")))
            keys = [key for key in keys if key > query.get("after", "")]
            page = keys[:500]
            rows = [self.row(key) for key in page]
            return 200, {"items": rows, "MorePages": len(keys) > len(page), "AsOf": self.revision}
        if path == "/api/kv-watch":
            return await self.watch(query)
        if path == "/api/kv-txn":
            return self.transact(json.loads(request.body))
        if path == "/api/kv-lease":
            ttl = json.loads(request.body)["TtlMs"]
            lease = random.getrandbits(31) + 1
            self.leases[lease] = [time.monotonic() + ttl / 1000, ttl]
            return 200, {"Lease": lease, "TtlMs": ttl}
        if path.startswith("/api/kv-keep/") or path.startswith("/api/kv-lease-end/"):
            lease = int(path.rsplit("/", 1)[1])
            if lease not in self.leases:
                return 404, {}
            if path.startswith("/api/kv-lease-end/"):
                self.end_lease(lease)
                return 200, {}
            ttl = self.leases[lease][1]
            self.leases[lease][0] = time.monotonic() + ttl / 1000
            return 200, {"TtlMs": ttl}
        return 404, {}

    async def watch(self, query):
        prefix, after = query.get("Prefix", ""), int(query["after"])
        end = time.monotonic() + int(query.get("WaitMs", "0")) / 1000
        cuts = self.cuts
        while True:
            if cuts != self.cuts:
                raise ConnectionError("the watch is cut")
            if after < self.compacted or after > self.revision:
                return 410, {}
            events = [
                event
                for _, revision, event in self.history
                if revision > after and event["Key"].startswith(prefix)
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"Events": events, "AsOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except (asyncio.TimeoutError, TimeoutError):
                pass

    def transact(self, body):
        revision = lambda key: self.items[key][1] if key in self.items else 0
        if any(revision(row["Key"]) != row["Revision"] for row in body.get("Expected", [])):
            rows = [self.row(row["Key"]) for row in body["Expected"] if row["Key"] in self.items]
            return 412, {"items": rows}
        writes = body.get("Writes", [])
        if any(write["Key"].startswith(("op/", "servers/")) for write in writes):
            return 403, {}
        if any(write.get("Lease") and write["Lease"] not in self.leases for write in writes):
            return 404, {}
        self.revision += 1
        for write in writes:
            self.log.append((time.monotonic(), write["Key"], write["Value"]))
            self.assign(write["Key"], base64.b64decode(write["Value"]), write.get("Lease", 0))
        for key in body.get("Remove", []):
            if key in self.items:
                self.erase(key)
        return 200, {"Revision": self.revision}


# Engines and plain servers


class Upstream:
    """A server that registers itself. Subclasses answer requests."""

    HEARTBEAT_S = 1.2

    def __init__(self, store, service, name, zone="marousi", slots=16, ip="127.0.0.1"):
        self.store, self.service, self.zone, self.slots = store, service, zone, slots
        self.id = f"i-{name}-{random.getrandbits(24):06x}"
        self.server = Server(self.handle, ip)
        self.seq = 0
        self.state = "ready"
        self.born = int(time.time() * 1000)
        self.ran = {}  # id of the request -> how often it ran
        self.running = 0

    def models(self):
        return []

    def entry(self):
        self.seq += 1
        return {
            "Service": self.service,
            "Address": self.server.addr,
            "Zone": self.zone,
            "Version": "v1",
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Stage": "colocated",
            "Models": self.models(),
            "Seq": self.seq,
            "born": self.born,
        }

    async def start(self, port=0):
        await self.server.start(port)
        self.beat = asyncio.create_task(self.heartbeats())
        return self

    async def heartbeats(self):
        while True:
            self.store.put(f"servers/{self.id}", self.entry())
            await asyncio.sleep(self.HEARTBEAT_S)

    def crash(self):
        self.beat.cancel()
        self.server.stop()

    def load(self):
        return f"{min(self.running, self.slots)},{max(self.running - self.slots, 0)},{self.slots},100"

    def check_instance(self, request):
        expected = request.headers.get("x-expect-instance")
        if expected not in (None, self.id):
            return 421, {"X-Instance-Id": self.id}, b""
        return None

    def answer_headers(self, request):
        attempt = request.headers.get("x-attempt-id", "")
        return {
            "X-Attempt-Id": attempt,
            "X-Response-Seal": f"seal.{attempt}",
            "X-Instance-Load": self.load(),
            "Keep-Alive": "timeout=15",
        }

    async def handle(self, request):
        if request.path == "/health":
            return 200, {"X-Instance-Id": self.id, "X-Instance-Load": self.load()}, b""
        refusal = self.check_instance(request)
        if refusal:
            return refusal
        return await self.answer(request)


class Plain(Upstream):
    """A plain server: answers after `work_s`."""

    def __init__(self, *args, work_s=0.015, **kw):
        super().__init__(*args, **kw)
        self.work_s = work_s

    async def answer(self, request):
        attempt = request.headers.get("x-attempt-id", "")
        if self.running >= self.slots + 24:
            return 503, {"X-Not-Executed": "1", "X-Attempt-Id": attempt}, b""
        self.running += 1
        try:
            self.ran[attempt] = self.ran.get(attempt, 0) + 1
            await asyncio.sleep(self.work_s)
            return 200, self.answer_headers(request), f"done {attempt}".encode()
        finally:
            self.running -= 1


class Engine(Upstream):
    """A model engine: streams events, keeps parts of prompts, serves one model."""

    QUEUE = 48
    EVENTS_KEPT = 4000
    LOAD_S = 1.1

    def __init__(self, *args, models=("daka510000",), tokens=195_050, first_s=0.03, step_s=0.02, events=6, **kw):
        super().__init__(*args, **kw)
        self.tokens, self.first_s, self.step_s, self.events = tokens, first_s, step_s, events
        self.versions = {model: 1 for model in models}
        self.loading = None  # model whose weights are being loaded
        self.orders = 0
        self.fence = 0
        self.order_log = []  # (time, body of the order, status)
        self.parts = {}  # (salt, id) -> tokens, least recently used first
        self.changes = []  # [number, sign, salt, id, tokens, model]
        self.number = 0
        self.epoch = random.getrandbits(30)
        self.free = asyncio.Semaphore(self.slots)

    def models(self):
        return [{"Name": name, "Version": version, "Adapters": []} for name, version in self.versions.items()]

    def change(self, sign, salt, part, tokens, model):
        self.number += 1
        self.changes.append([self.number, sign, salt, part, tokens, model])
        del self.changes[: -self.EVENTS_KEPT]

    def keep(self, salt, prefix, model):
        for entry in filter(None, prefix.split(",")):
            part, _, tokens = entry.partition(":")
            tokens = int(tokens)
            self.parts.pop((salt, part, model), None)
            self.parts[(salt, part, model)] = tokens
            self.change("+", salt, part, tokens, model)
        total = sum(self.parts.values())
        while total > self.tokens and self.parts:
            (old_salt, old, old_model), tokens = next(iter(self.parts.items()))
            del self.parts[(old_salt, old, old_model)]
            total -= tokens
            self.change("-", old_salt, old, 0, old_model)

    async def answer(self, request):
        if request.path == "/api/report":
            report = {
                "Stage": "colocated",
                "Models": self.models(),
                "Busy": self.loading is not None,
                "Seq": self.orders,
                "Queued": max(self.running - self.slots, 0),
                "Active": min(self.running, self.slots),
                "KvUsed": 0,
                "KvTotal": self.tokens,
                "Handles": 0,
            }
            return 200, {"Content-Type": "application/json"}, json.dumps(report).encode()
        if request.path == "/api/kv-events":
            return await self.cache_events(request)
        if request.path == "/api/kv-list":
            held = [[salt, part, tokens, model] for (salt, part, model), tokens in self.parts.items()]
            body = {"BootEpoch": self.epoch, "NextToken": self.number, "Held": held}
            return 200, {"Content-Type": "application/json"}, json.dumps(body).encode()
        if request.path == "/api/order":
            return self.order(json.loads(request.body))
        return await self.generate(request)

    async def cache_events(self, request):
        since = int(request.query.get("Since", "0"))
        end = time.monotonic() + int(request.headers.get("wait-ms", "0")) / 1000
        while self.number <= since and time.monotonic() < end:
            await asyncio.sleep(0.02)
        changes = [change for change in self.changes if change[0] > since]
        is_lost = self.number - len(self.changes) > since
        body = {"BootEpoch": self.epoch, "NextToken": self.number, "Lost": is_lost, "Events": changes}
        return 200, {"Content-Type": "application/json"}, json.dumps(body).encode()

    def order(self, order):
        status = self.take_order(order)
        self.order_log.append((time.monotonic(), order, status))
        return status, {}, b""

    def take_order(self, order):
        if "Holder" not in order or "FencingToken" not in order or order.get("Model") not in self.versions:
            return 400
        if order["FencingToken"] < self.fence:
            return 412
        self.fence = order["FencingToken"]
        if self.versions[order["Model"]] == order["Version"]:
            return 200
        if self.loading is not None or order.get("Expected", self.orders) != self.orders:
            return 409
        self.orders += 1
        self.loading = order["Model"]
        asyncio.get_running_loop().call_later(self.LOAD_S, self.loaded, order["Model"], order["Version"])
        return 202

    def loaded(self, model, version):
        self.versions[model] = version
        self.loading = None
        for salt, part, of_model in [key for key in self.parts if key[2] == model]:
            del self.parts[(salt, part, of_model)]
            self.change("-", salt, part, 0, of_model)

    def refuse(self, request, status=503):
        attempt = request.headers.get("x-attempt-id", "")
        return status, {"X-Not-Executed": "1", "X-Attempt-Id": attempt, "X-Instance-Load": self.load()}, b""

    async def generate(self, request):
        model = request.headers.get("x-model", "")
        version = self.versions.get(model)
        if version is None or request.headers.get("x-expect-version", str(version)) != str(version):
            return self.refuse(request, 421)
        if self.loading == model:
            return self.refuse(request)
        prompt, _, _ = request.headers.get("x-token-count", "0,0").partition(",")
        if self.running >= self.slots + self.QUEUE or int(prompt) > self.tokens:
            return self.refuse(request)
        self.running += 1
        try:
            async with self.free:
                return await self.stream(request)
        finally:
            self.running -= 1

    async def stream(self, request):
        attempt, writer = request.headers.get("x-attempt-id", ""), request.writer
        await asyncio.sleep(self.first_s)
        if writer.transport.is_closing():
            return None
        self.ran[attempt] = self.ran.get(attempt, 0) + 1
        model = request.headers["x-model"]
        self.keep(request.headers.get("x-cache-salt", ""), request.headers.get("x-prompt-prefix", ""), model)
        headers = {
            **self.answer_headers(request),
            "Content-Type": "text/event-stream",
            "X-Weight-Versions": self.versions[model],
            "Transfer-Encoding": "chunked",
        }
        writer.write(head(200, headers))
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: token {number} of {attempt}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
            if number < self.events:
                await asyncio.sleep(self.step_s)
        writer.write(b"0\r\n\r\n")
        return None


# VMs

SETTINGS = """\
NodeName = "{name}"
Role = "router"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{ip}"
Zone = "{zone}"
Region = "attica"
InternalPorts = [{peer_port},{peer_port_last}]
SeedNodes = []
Bootstrap = true
CountsTowardLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
Contracts = ["base","drain","config","cost","retry","recover","kvcache","stream","engine","tenants","platform"]
[Zones]
marousi = "attica"
piraeus = "attica"
elefsina = "attica"
[Listen]
Frontend = "{ip}:{port}"
Ready = "{ip}:{ready_port}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = {memory_mb}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
ReuseAfterS = 2
ContactMs = 3000
AckMs = 4000
CatchUpS = 4
DrainMs = 2000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 2000
DowngradeSlackMs = 250
MaxStretchMs = 5000
StrictRevoke = true
RevokeMs = 5000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 58
RecoveryS = 12
TransitMs = 120
ReuseWindowS = 10
RequireFencing = {fenced}
LeaseMs = 3000
ThawSlackMs = 300
VersionMs = 12000
VersionAllMs = 17000
[Platform]
Address = "{store}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""


class Vm:
    """A VM: one process, started with the command of the deploy file."""

    def __init__(self, case, name, zone="marousi", memory_mb=110, fenced=True):
        self.case, self.name, self.zone, self.memory_mb, self.fenced = case, name, zone, memory_mb, fenced
        self.ip = case.free_ip()
        self.port, self.ready_port, self.peer_port = 8782, 8789, 7340
        self.addr, self.ready_addr = f"{self.ip}:{self.port}", f"{self.ip}:{self.ready_port}"
        self.process = None
        self.starts = 0

    def start(self):
        settings = self.case.dir / f"{self.name}.toml"
        settings.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=self.zone,
                peer_port=self.peer_port,
                peer_port_last=self.peer_port + 15,
                port=self.port,
                ready_port=self.ready_port,
                memory_mb=self.memory_mb,
                fenced=str(self.fenced).lower(),
                store=self.case.store.addr,
            )
        )
        self.starts += 1
        log = open(self.case.dir / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            [str(PROGRAM), "--platform", "--metrics", str(METRICS_PORT)],
            cwd=ROOT,
            env={"LAVENDERWOOD_NODE_FILE": str(settings), "PATH": os.environ.get("PATH", ""), "LANG": "C"},
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()

    def signal(self, number):
        self.process.send_signal(number)

    def has_ended(self):
        return self.process.poll() is not None

    def kill(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def memory_mb_used(self):
        """Resident memory of the process in MB; 0 if it has ended."""
        try:
            with open(f"/proc/{self.process.pid}/status") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except (OSError, ValueError):
            pass
        return 0.0

    def cpu_s(self):
        with open(f"/proc/{self.process.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    async def is_ready(self, timeout=1.0):
        answer = await call(self.ready_addr, "GET", "/api/readiness", {"Host": "ready"}, timeout=timeout)
        return answer.status == 200

    def log(self):
        return (self.case.dir / f"{self.name}.log").read_text(errors="replace")


# A case


class Case:
    """One run: a store, upstreams, VMs, and the record of what happened."""

    def __init__(self, folder):
        self.folder = Path(folder)
        self.dir = Path(tempfile.mkdtemp(prefix="lw-review-"))
        self.record = open(self.folder / "record.txt", "w")
        self.began = time.monotonic()
        self.vms, self.upstreams = [], []
        self.net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        self.hosts = iter(range(10, 250))
        self.serial = 0

    def free_ip(self):
        for host in self.hosts:
            ip = f"{self.net}.{host}"
            try:
                for port in (8782, 8789, 7340, METRICS_PORT):
                    with socket.socket() as probe:
                        probe.bind((ip, port))
                return ip
            except OSError:
                continue
        raise CannotRun("no free loopback address")

    def note(self, text):
        line = f"{time.monotonic() - self.began:8.3f} {text}"
        self.record.write(line + "\n")
        self.record.flush()
        print(line, flush=True)

    def write(self, text):
        """Writes a line to the record only."""
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def request_id(self):
        self.serial += 1
        return f"{random.getrandbits(40):010x}{self.serial:06x}"

    async def start_store(self):
        self.store = await Store().start()

    async def add(self, upstream):
        self.upstreams.append(await upstream.start())
        return upstream

    def add_vm(self, *args, **kw):
        vm = Vm(self, *args, **kw)
        self.vms.append(vm)
        vm.start()
        return vm

    async def wait_ready(self, vms=None, timeout=20.0):
        end = time.monotonic() + timeout
        for vm in vms or self.vms:
            while not await vm.is_ready():
                if vm.has_ended():
                    raise CannotRun(f"{vm.name} has ended: {vm.log()[-500:]}")
                if time.monotonic() > end:
                    raise CannotRun(f"{vm.name} was not ready in time: {vm.log()[-500:]}")
                await asyncio.sleep(0.1)

    def close(self, keep_logs=False):
        for vm in self.vms:
            vm.kill()
        self.record.close()
        if keep_logs or os.environ.get("KEEP"):
            print("logs:", self.dir)
        else:
            shutil.rmtree(self.dir, ignore_errors=True)


def run(folder, body, limit_s=115):
    """Runs a case and ends the process: 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    if not PROGRAM.exists():
        print("the program is not built")
        sys.exit(2)
    _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    case = Case(folder)

    async def main():
        await case.start_store()
        async with asyncio.timeout(limit_s):
            return await body(case)

    code = 2
    try:
        broken = asyncio.run(main())
        case.note("the rule was broken" if broken else "the rule held")
        code = 1 if broken else 0
    except (CannotRun, OSError, TimeoutError) as e:
        case.note(f"could not run: {type(e).__name__}: {e}")
    finally:
        case.close()
    sys.exit(code)


# A small deployment like `hgsa-lavender`

LIMITS = {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000}
KEY = "ctnfzs989anu6wsjnban"
LLM_HOST, APP_HOST = "jepu9.example", "voka93.example"
DOSSIER, QUERY, ISSUE, LOOKUP = "/lepu270/", "/xapu221/", "/fiti832/", "/filo73/"
MODEL = "daka510000"


def config(version=7, limits=None, tenants=None, models=(MODEL,)):
    def route(name, host, prefix, kind, service, timeout, target, priority, attempts, **more):
        return {
            "Name": name,
            "Host": host,
            "Prefix": prefix,
            "Kind": kind,
            "TimeoutMs": timeout,
            "TargetLatencyMs": target,
            "Priority": priority,
            "Service": service,
            "MaxAttempts": attempts,
            "AllowAnonymous": False,
            **more,
        }

    engine = {
        "Slots": 16,
        "KvCapacityTokens": 195050,
        "KvTokenBytes": 18432,
        "LinkMbps": 88000.0,
        "Moves": True,
        "Backups": True,
        "Stride": 7,
        "MaxInFlight": 12,
        "PinMs": 4000.0,
        "HoldMs": 2000.0,
        "handle_s": 5.0,
        "Models": [{"Name": model} for model in models],
    }
    stream = {"Sticky": True, "TargetGapMs": 150}
    return {
        "Version": version,
        "Routes": [
            route("r-dossier", LLM_HOST, DOSSIER, "streaming", "model-desk", 6000, 300, 1, 2, Resumable=True, **stream),
            route("r-query", LLM_HOST, QUERY, "streaming", "model-desk", 3000, 400, 0, 1, Resumable=False, **stream),
            route("r-issue", APP_HOST, ISSUE, "non_idempotent", "cert-registry", 600, 120, 2, 1),
            route("r-lookup", APP_HOST, LOOKUP, "idempotent", "cert-registry", 600, 120, 2, 2),
        ],
        "Services": [
            {"Name": "model-desk", "HealthPath": "/health", "MaxConnections": 180, "Protocol": "h1", "Tls": False, "Engine": engine},
            {"Name": "cert-registry", "HealthPath": "/health", "MaxConnections": 110, "Protocol": "h1", "Tls": False},
        ],
        "Limits": limits or LIMITS,
        "Tenants": tenants or [{"Name": "sese880", "ApiKeys": [KEY], "Priority": 1, "Isolated": False}],
    }


def headers(case, host, deadline_ms, **more):
    return {
        "Host": host,
        "X-Attempt-Id": case.request_id(),
        "X-Deadline-Ms": deadline_ms,
        "X-Credential": KEY,
        **{name.replace("_", "-"): value for name, value in more.items()},
    }


async def lookup(case, vm, conn=None, timeout=3.0):
    """A sound `cert-lookup`, as of the site's sheet."""
    return await call(vm.addr, "GET", LOOKUP + "2f", headers(case, APP_HOST, 600), timeout=timeout, conn=conn)


async def deploy(case, engines=4, servers=3, vms=1, zones=("marousi", "piraeus", "elefsina"), **engine_options):
    """Starts a small deployment. Returns the VMs."""
    case.store.put("op/config", config(models=engine_options.get("models", (MODEL,))))
    case.store.put(f"op/version/{MODEL}", {"Model": MODEL, "Version": 1})
    for n in range(engines):
        await case.add(Engine(case.store, "model-desk", f"e{n}", zone=zones[n % len(zones)], **engine_options))
    for n in range(servers):
        await case.add(Plain(case.store, "cert-registry", f"s{n}", zone=zones[n % len(zones)], slots=6))
    started = [case.add_vm(f"edge-{zones[n % len(zones)]}-{n}", zone=zones[n % len(zones)]) for n in range(vms)]
    await case.wait_ready()
    return started
