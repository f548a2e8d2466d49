"""Stand-ins of the platform's store, of model engines and of plain servers, and the processes of a small deployment.

They use only the standard library and loopback addresses, and follow the platform's published pages.
"""

import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, unquote, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "lavenderwoodd")
# Figures of the two small deployments. A case selects one with `use_site`.
SITES = {
    "malabar-lines": {
        "region": "kochi", "zones": ["kochi-a", "kochi-b", "kochi-c"], "memory_mb": 260, "slack": 54, "version_ms": 15000,
        "version_all_ms": 21000, "slots": 32, "kv_tokens": 186924, "load_s": 1.8, "engine_channels": 230, "plain_channels": 100,
    },
    "hgsa-lavender": {
        "region": "attica", "zones": ["marousi", "piraeus", "elefsina"], "memory_mb": 110, "slack": 58, "version_ms": 12000,
        "version_all_ms": 17000, "slots": 16, "kv_tokens": 195050, "load_s": 1.1, "engine_channels": 180, "plain_channels": 110,
    },
}
SITE = dict(SITES["malabar-lines"])
MODEL = "daka510000"
HOST = "desk.example"
KEY = "ctnfzs989anu6wsjnban"


def now():
    return time.monotonic()


def use_site(name):
    SITE.update(SITES[name])


def zone(index):
    return SITE["zones"][index % 3]


class Record:
    """What was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = now()
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            self.file.write(f"{now() - self.start:9.3f} {text}\n")
            self.file.flush()


class Part:
    """The record of one of several deployments that run side by side."""

    def __init__(self, record, name):
        self.record, self.name, self.start = record, name, record.start

    def write(self, text):
        self.record.write(f"[{self.name}] {text}")


class Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, *_):
        pass

    def read_body(self):
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def reply(self, status, body=None, headers=()):
        data = b"" if body is None else json.dumps(body).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        for name, value in headers:
            self.send_header(name, value)
        self.end_headers()
        self.wfile.write(data)

    def handle(self):
        try:
            super().handle()
        except (ConnectionError, OSError):
            pass


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, *_):
        pass


def serve(handler, ip="127.0.0.1"):
    server = Server((ip, 0), handler)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server, f"{ip}:{server.server_address[1]}"


class Store:
    """The platform's store. `era` rises when it returns from an older copy."""

    def __init__(self, record):
        self.record = record
        self.changed = threading.Condition()
        self.era, self.revision, self.last_lease = 1, 10, 100
        self.items, self.leases, self.history = {}, {}, []
        self.compacted = 0
        # Addresses of the store from which machines are cut off at the moment: calls there are neither done nor answered.
        self.cut = set()
        self.away = False
        store = self

        class StoreHandler(Handler):
            def do_GET(self):
                store.call(self, "GET")

            def do_POST(self):
                store.call(self, "POST")

            def do_DELETE(self):
                store.call(self, "DELETE")

        self.handler = StoreHandler
        threading.Thread(target=self.expire, daemon=True).start()

    def add_address(self):
        """Returns a further address, the path of one machine to the store."""
        return serve(self.handler)[1]

    def expire(self):
        while True:
            time.sleep(0.02)
            with self.changed:
                self.end_expired()

    def end_expired(self):
        for lease in [lease for lease, (end, _) in self.leases.items() if end <= now()]:
            self.end_lease(lease)

    def end_lease(self, lease):
        self.leases.pop(lease, None)
        for key in [key for key, item in self.items.items() if item["Lease"] == lease]:
            self.remove(key)

    def write(self, key, value, lease=0):
        self.revision += 1
        created = self.items.get(key, {}).get("Created", self.revision)
        item = {
            "Key": key,
            "Value": base64.b64encode(value).decode(),
            "Revision": self.revision,
            "Created": created,
            "Lease": lease,
        }
        self.items[key] = item
        self.history.append((self.revision, item))
        self.changed.notify_all()

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self.history.append((self.revision, {"Key": key, "Revision": self.revision, "Removed": True}))
            self.changed.notify_all()

    def copy(self):
        with self.changed:
            return dict(self.items), dict(self.leases), self.last_lease, self.revision

    def restore(self, copy):
        """Returns from an older copy: what was written since is gone, and revisions are given out again."""
        with self.changed:
            items, leases, self.last_lease, self.revision = copy
            self.items = dict(items)
            self.leases = {lease: (now() + ttl / 1000, ttl) for lease, (_, ttl) in leases.items()}
            self.history = []
            self.compacted = self.revision
            self.era += 1
            self.changed.notify_all()

    def put(self, key, value):
        """Writes a key as operators and engines do."""
        with self.changed:
            self.write(key, json.dumps(value).encode())

    def drop(self, key):
        with self.changed:
            self.remove(key)

    def get(self, key):
        with self.changed:
            item = self.items.get(key)
        return item and base64.b64decode(item["Value"])

    def call(self, http, method):
        parts = urlsplit(http.path)
        query = {name: values[-1] for name, values in parse_qs(parts.query, keep_blank_values=True).items()}
        body = json.loads(http.read_body() or b"{}")
        address = "%s:%d" % http.server.server_address
        if address in self.cut or self.away:
            while address in self.cut or self.away:
                time.sleep(0.02)
            http.close_connection = True
            return
        status, answer = self.answer(method, unquote(parts.path), query, body)
        if address in self.cut or self.away:
            http.close_connection = True
            return
        http.reply(status, answer, [("Store-Era", str(self.era))])

    def answer(self, method, path, query, body):
        with self.changed:
            self.end_expired()
            if (method, path) == ("GET", "/api/kv-key"):
                item = self.items.get(query.get("Key"))
                return (200, dict(item, AsOf=self.revision)) if item else (404, {})
            if (method, path) == ("GET", "/api/kv-range"):
                prefix, after = query.get("Prefix", ""), query.get("after", "")
                keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
                items = [self.items[key] for key in keys[:500]]
                return 200, {"items": items, "MorePages": len(keys) > 500, "AsOf": self.revision}
            if (method, path) == ("GET", "/api/kv-watch"):
                return self.watch(query)
            if (method, path) == ("POST", "/api/kv-txn"):
                return self.transact(body)
            if (method, path) == ("POST", "/api/kv-lease"):
                self.last_lease += 1
                ttl = max(1000, body["TtlMs"])
                self.leases[self.last_lease] = (now() + ttl / 1000, ttl)
                return 200, {"Lease": self.last_lease, "TtlMs": ttl}
            name, _, number = path.rpartition("/")
            lease = int(number) if number.isdigit() else None
            if (method, name) == ("POST", "/api/kv-keep"):
                if lease not in self.leases:
                    return 404, {}
                ttl = self.leases[lease][1]
                self.leases[lease] = (now() + ttl / 1000, ttl)
                return 200, {"TtlMs": ttl}
            if (method, name) == ("DELETE", "/api/kv-lease-end"):
                if lease not in self.leases:
                    return 404, {}
                self.end_lease(lease)
                return 200, {}
            return 404, {}

    def watch(self, query):
        prefix, after, era = query.get("Prefix", ""), int(query["after"]), self.era
        until = now() + min(int(query.get("WaitMs", 0)), 30000) / 1000
        while True:
            if after > self.revision or after < self.compacted or era != self.era:
                return 410, {}
            events = [event for revision, event in self.history if revision > after and event["Key"].startswith(prefix)]
            left = until - now()
            if events or left <= 0:
                return 200, {"Events": events, "AsOf": self.revision}
            self.changed.wait(left)

    def transact(self, body):
        expected, writes = body.get("Expected") or [], body.get("Writes") or []
        remove = body.get("Remove") or []
        for key in [write["Key"] for write in writes] + remove:
            if key.startswith(("op/", "servers/")):
                return 403, {}
        revision = lambda key: self.items.get(key, {}).get("Revision", 0)
        if any(revision(row["Key"]) != row["Revision"] for row in expected):
            rows = [self.items[row["Key"]] for row in expected if row["Key"] in self.items]
            return 412, {"items": rows}
        if any(write.get("Lease") and write["Lease"] not in self.leases for write in writes):
            return 404, {}
        for write in writes:
            self.write(write["Key"], base64.b64decode(write["Value"]), write.get("Lease") or 0)
        for key in remove:
            self.remove(key)
        return 200, {"Revision": self.revision}


class Upstream:
    """An engine with a model, or a plain server without one."""

    REPORT_LAG_S = 0.2

    def __init__(self, store, record, name, service, zone, model=None, slots=None):
        self.store, self.record, self.id, self.service, self.zone = store, record, name, service, zone
        self.model, self.slots, self.state = model, slots or SITE["slots"], "ready"
        self.born = int(time.time() * 1000)
        self.lock = threading.Lock()
        self.version, self.loading, self.accepted, self.fence, self.beats = 1, None, 0, 0, 0
        self.past = [(now() - 10, self.snapshot())]
        self.orders, self.runs = [], []
        self.answer, self.checks_fences = None, True
        upstream = self

        class UpstreamHandler(Handler):
            def do_GET(self):
                upstream.call(self)

            def do_POST(self):
                upstream.call(self)

        self.server, self.address = serve(UpstreamHandler)
        self.is_registered = True
        self.register()
        threading.Thread(target=self.run, daemon=True).start()

    def snapshot(self):
        return {"Version": self.version, "Busy": self.loading is not None, "Seq": self.accepted}

    def models(self, version):
        return [{"Name": self.model, "Version": version, "Adapters": []}] if self.model else []

    def register(self):
        self.beats += 1
        entry = {
            "Service": self.service, "Address": self.address, "Zone": self.zone, "Version": "v1",
            "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0, "Seq": self.beats, "born": self.born,
        }
        if self.model:
            entry.update(Stage="colocated", Models=self.models(self.version))
        self.store.put(f"servers/{self.id}", entry)

    def run(self):
        last = now()
        while True:
            time.sleep(0.02)
            with self.lock:
                if self.loading and now() >= self.loading[1]:
                    self.version, self.loading = self.loading[0], None
                    self.record.write(f"{self.id} serves version {self.version}")
                    self.past.append((now(), self.snapshot()))
            if self.is_registered and now() - last >= 1.2:
                last = now()
                self.register()

    def call(self, http):
        path = urlsplit(http.path).path
        body = http.read_body()
        expected = http.headers.get("X-Expect-Instance")
        if expected not in (None, self.id):
            return http.reply(421, {}, [("X-Instance-Id", self.id), ("X-Not-Executed", "1")])
        if path == "/api/report":
            return http.reply(200, self.report())
        if path == "/api/order":
            return http.reply(self.order(json.loads(body)), {})
        if path == "/api/kv-events":
            time.sleep(min(int(http.headers.get("Wait-Ms") or 0), 1000) / 1000)
            return http.reply(200, {"BootEpoch": 1, "NextToken": 1, "Lost": False, "Events": []})
        if self.answer:
            return self.answer(self, http, body)
        http.reply(503, {}, [("X-Not-Executed", "1"), ("X-Attempt-Id", http.headers.get("X-Attempt-Id", ""))])

    def report(self):
        with self.lock:
            then = now() - self.REPORT_LAG_S
            state = [state for at, state in self.past if at <= then][-1]
        return {
            "Stage": "colocated", "Models": self.models(state["Version"]), "Busy": state["Busy"], "Seq": state["Seq"],
            "Queued": 0, "Active": 0, "KvUsed": 0, "KvTotal": SITE["kv_tokens"], "Handles": 0,
        }

    def order(self, order):
        with self.lock:
            status = self.order_status(order)
            if status == 202:
                self.accepted += 1
                self.loading = (order["Version"], now() + SITE["load_s"])
                self.past.append((now(), self.snapshot()))
            self.orders.append((now(), order["Holder"], order["FencingToken"], order["Version"], status))
            self.record.write(
                f"{self.id} order from {order['Holder']} fence={order['FencingToken']} "
                f"version={order['Version']} expected={order.get('Expected')} -> {status}"
            )
            return status

    def order_status(self, order):
        if self.checks_fences and order["FencingToken"] < self.fence:
            return 412
        self.fence = max(self.fence, order["FencingToken"])
        if self.loading or order.get("Expected", self.accepted) != self.accepted:
            return 409
        named = self.store.get(f"op/version/{order['Model']}")
        if not named or order["Version"] > json.loads(named)["Version"]:
            return 400
        return 200 if order["Version"] <= self.version else 202


class Vm:
    """One process of the system, with the settings file that the platform writes for it."""

    def __init__(self, deployment, index):
        self.deployment, self.index = deployment, index
        self.name, self.ip = f"edge-{index + 1}", f"127.0.1.{index + 1}"
        self.zone = zone(index)
        self.settings = os.path.join(deployment.folder, f"{self.name}.toml")
        self.log = open(os.path.join(deployment.folder, f"{self.name}.log"), "ab")
        self.process = None
        self.store_address = deployment.store.add_address()

    def write_settings(self):
        front, ready, control, internal = self.deployment.ports
        region = SITE["region"]
        zones = "\n".join(f'{zone} = "{region}"' for zone in SITE["zones"])
        text = f"""
NodeName = "{self.name}"
Role = "router"
MachineClass = "edge"
Serves = ["edge"]
Ip = "{self.ip}"
Zone = "{self.zone}"
Region = "{region}"
InternalPorts = [{internal}, {internal + 15}]
SeedNodes = []
Bootstrap = true
CountsTowardLoss = false
Discovery = "platform"
Entry = "vip"
HeartbeatMs = 1200
[Zones]
{zones}
[Listen]
Frontend = "{self.ip}:{front}"
Ready = "{self.ip}:{ready}"
[Limits]
CpuShare = 0.25
Cores = 1
MemoryMb = {SITE["memory_mb"]}
MaxFds = 4100
LinkMbps = 1000.0
DiskMb = 0
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
BudgetSlack = {SITE["slack"]}
RecoveryS = 12
TransitMs = 120
ReuseWindowS = 10
RequireFencing = {str(self.deployment.checks_fences).lower()}
LeaseMs = 3000
ThawSlackMs = 300
VersionMs = {SITE["version_ms"]}
VersionAllMs = {SITE["version_all_ms"]}
[Platform]
Address = "{self.store_address}"
form = "kv"
WritesPerS = 400
ReadsPerS = 2000
HistoryS = 20
ValueBytes = 1048576
TtlMinMs = 1000
"""
        with open(self.settings, "w") as file:
            file.write(text)

    def start(self):
        self.write_settings()
        env = {"PATH": os.environ.get("PATH", ""), "LAVENDERWOOD_NODE_FILE": self.settings}
        self.process = subprocess.Popen(
            [PROGRAM, "--platform", "--metrics", str(self.deployment.metrics_port)],
            cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log,
        )
        self.deployment.record.write(f"{self.name} started")

    def signal(self, number):
        self.deployment.record.write(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def restart_after_end(self):
        """Waits until the process has ended after SIGTERM, at most the grace time, and starts it again."""
        try:
            self.process.wait(8)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self.deployment.record.write(f"{self.name} ended")
        time.sleep(0.3)
        self.start()

    def front(self):
        return self.ip, self.deployment.ports[0]

    def is_ready(self):
        try:
            with socket.create_connection((self.ip, self.deployment.ports[1]), 1) as sock:
                sock.settimeout(1)
                sock.sendall(b"GET /api/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                return sock.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False


class Deployment:
    def __init__(self, case_folder, vms, record=None, checks_fences=True):
        self.record, self.checks_fences = record or Record(case_folder), checks_fences
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.ports = self.free_ports()
        self.metrics_port = self.ports[3] + 16
        self.store = Store(self.record)
        self.vms = [Vm(self, index) for index in range(vms)]
        self.upstreams = []

    @staticmethod
    def free_ports():
        """Returns a block of ports that are free on the addresses in use."""
        for _ in range(200):
            base = random.randrange(20000, 31000)
            try:
                for offset in (0, 1, 2, 4, 20):
                    for ip in ("127.0.1.1", "127.0.1.2"):
                        with socket.socket() as sock:
                            sock.bind((ip, base + offset))
                return base, base + 1, base + 2, base + 4
            except OSError:
                continue
        raise OSError("no free ports")

    def start(self, timeout=25):
        for vm in self.vms:
            vm.start()
        self.wait_for(lambda: all(vm.is_ready() for vm in self.vms), timeout, "all VMs are ready")

    def wait_for(self, condition, timeout, what):
        until = now() + timeout
        while now() < until:
            if condition():
                self.record.write(what)
                return
            time.sleep(0.02)
        raise Unfit(f"not in time: {what}")

    def stop(self):
        for vm in self.vms:
            if vm.process and vm.process.poll() is None:
                vm.process.send_signal(signal.SIGCONT)
                vm.process.kill()
                vm.process.wait()
        if "KEEP_LOGS" not in os.environ:
            shutil.rmtree(self.folder, ignore_errors=True)


class Unfit(Exception):
    """The case could not run."""


def configuration(version, routes, services, keys=(KEY,)):
    return {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 32768, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 5000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": "sese880", "ApiKeys": list(keys), "Isolated": False}],
    }


def route(name, prefix, kind, service, timeout_ms, target_ms, attempts, **more):
    return {
        "Name": name, "Host": HOST, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
        "TargetLatencyMs": target_ms, "Priority": 1, "Service": service, "MaxAttempts": attempts,
        "AllowAnonymous": False, **more,
    }


def engine_service(name):
    return {
        "Name": name, "HealthPath": "/health", "MaxConnections": SITE["engine_channels"], "Protocol": "h1", "Tls": False,
        "Engine": {
            "Slots": SITE["slots"], "KvCapacityTokens": SITE["kv_tokens"], "KvTokenBytes": 18432, "LinkMbps": 88000.0, "Stride": 7,
            "MaxInFlight": 12, "Models": [{"Name": MODEL}],
        },
    }


def plain_service(name):
    return {"Name": name, "HealthPath": "/health", "MaxConnections": SITE["plain_channels"], "Protocol": "h1", "Tls": False}


def main(case, run):
    """Runs `run(folder, with_trouble)`, which returns the violations, and exits as the task demands."""
    folder = os.path.dirname(os.path.abspath(case))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes that were started, however this one is ended.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    threading.Timer(115, lambda: os.kill(os.getpid(), signal.SIGTERM)).start()
    try:
        violations = run(folder, trouble)
    except (Unfit, SystemExit, OSError) as e:
        print(f"could not run: {e}")
        sys.stdout.flush()
        os._exit(2)
    for line in violations:
        print(line)
    print("the rule was broken" if violations else "the rule held")
    sys.stdout.flush()
    os._exit(1 if violations else 0)
