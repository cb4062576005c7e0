"""A small deployment on loopback: the project's control and entry programs as separate processes, and
stand-ins for runners, clients and the platform that follow the platform's pages.

Every address is a loopback address. Times in the record are seconds since the start of the script.
"""
import asyncio
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
SYSTEM = os.path.join(ROOT, "deploy", "system.toml")
FRONT, READY, CONTROL, LINK, LAST = 8221, 8224, 8229, 7600, 7615
HEARTBEAT_MS = 1200
BOUNDS = {
    "SeedLagS": 3, "AddressReuseS": 2, "ContactMs": 4000, "AckMs": 5000, "CatchUpS": 4, "DrainMs": 3000,
    "GraceS": 8, "LossSlackMs": 200, "ConfigApplyMs": 3000, "RollbackSlackMs": 250, "MaxStretchMs": 6000,
    "StrictRevocation": False, "RevokeMs": 5000, "RetryBudgetRatio": 0.2, "BudgetWindowS": 10,
    "BudgetSlack": 58, "QuotaWindowS": 8, "QuotaOverage": 0.1, "QuotaSlack": 17000, "RecoveryS": 12,
    "PassMs": 400, "RetryAfterS": 0, "RequireFencing": True, "LeaseMs": 3000, "ThawMs": 300,
    "CeilingWindowS": 5, "CeilingOverage": 1.1, "version_ms": 5000,
}
HOST = "shop.example"
KEY = "k7n73hh2b9wu3fexd9dn"
TENANT = "acme"


class CannotRun(Exception):
    """The case could not be carried out."""


class Record:
    """Writes `record.txt`."""

    def __init__(self, folder):
        self.start = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write(f"{self.now():9.3f}  {text}\n")

    def close(self):
        self.file.close()


def free_network():
    """A prefix of loopback addresses whose ports are free."""
    for _ in range(50):
        prefix = f"127.{random.randint(30, 220)}.{random.randint(1, 250)}"
        try:
            for host in range(1, 10):
                for port in (FRONT, READY, CONTROL, LINK, LINK + 1):
                    with socket.socket() as probe:
                        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                        probe.bind((f"{prefix}.{host}", port))
            return prefix
        except OSError:
            continue
    raise CannotRun("no free loopback addresses")


def commands():
    """The command of each role in the deploy file."""
    with open(SYSTEM, encoding="utf-8") as file:
        text = file.read()
    found = re.findall(r'\[roles\.(\w+)\]\s+run = "([^"]+)"', text)
    return {role: run.split(" ") for role, run in found}


def toml(value):
    if isinstance(value, bool):
        return "true" if value else "false"
    return json.dumps(value)


class Node:
    """One machine with one process of the project."""

    def __init__(self, fleet, role, name, ip, zone):
        self.fleet, self.role, self.name, self.ip, self.zone = fleet, role, name, ip, zone
        self.process = None
        self.starts = 0
        self.folder = os.path.join(fleet.folder, name)
        os.makedirs(os.path.join(self.folder, "data"))

    def write_settings(self):
        fleet = self.fleet
        lines = [
            ("NodeName", self.name), ("Role", self.role),
            ("MachineClass", "front" if self.role == "entry" else "core"),
            ("Serves", ["front"] if self.role == "entry" else ["control"]),
            ("Ip", self.ip), ("Zone", self.zone), ("Region", f"r-{self.zone}"),
            ("InternalPortRange", [LINK, LAST]), ("Seeds", [f"{c.ip}:{CONTROL}" for c in fleet.controls[:3]]),
            ("Bootstrap", self.starts == 0), ("InFaultBudget", self.role == "control"),
            ("Discovery", "registration"), ("Entry", "vip"), ("HeartbeatMs", HEARTBEAT_MS),
            ("ConfigMode", "highest"),
        ]
        if self.role == "control":
            lines.append(("DataDir", os.path.join(self.folder, "data")))
        text = "".join(f"{name} = {toml(value)}\n" for name, value in lines)
        text += "[Zones]\n" + "".join(f'{zone} = "r-{zone}"\n' for zone in fleet.zones)
        text += "[Listen]\n"
        if self.role == "entry":
            text += f'Front = "{self.ip}:{FRONT}"\nReady = "{self.ip}:{READY}"\n'
        else:
            text += f'Control = "{self.ip}:{CONTROL}"\n'
        memory, files = (260, 4100) if self.role == "entry" else (256, 4096)
        text += f"[Limits]\nCpuShare = 0.25\nCores = 1\nMemoryMb = {memory}\nMaxFds = {files}\nLinkMbps = 1000.0\n"
        text += "[FaultTolerance]\nMachines = 1\nZones = 0\nRegions = 0\n[Bounds]\n"
        text += "".join(f"{name} = {toml(value)}\n" for name, value in fleet.bounds.items())
        path = os.path.join(self.folder, "settings.toml")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def start(self):
        path = self.write_settings()
        self.starts += 1
        with open(os.path.join(self.folder, "log"), "ab") as log:
            kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
            self.process = subprocess.Popen(
                self.fleet.commands[self.role], cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                env={**kept, "MEDLARLIFT_SETTINGS": path},
            )
        self.fleet.record(f"{self.name} starts at {self.ip}")

    def signal(self, number):
        self.fleet.record(f"{self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    def runs(self):
        return self.process is not None and self.process.poll() is None


class Fleet:
    """Three control machines and some entry machines."""

    def __init__(self, record, entries=3, zones=("north",), bounds=None):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix="review-")
        self.folder = self.temporary.name
        self.commands = commands()
        program = os.path.join(ROOT, self.commands["entry"][0])
        if not os.path.exists(program):
            raise CannotRun(f"{program} has not been built")
        self.prefix = free_network()
        self.zones = zones
        self.bounds = {**BOUNDS, **(bounds or {})}
        zone = lambda number: zones[number % len(zones)]
        self.controls = []
        self.entries = []
        for number in range(3):
            self.controls.append(Node(self, "control", f"core-{number + 1}", f"{self.prefix}.{number + 1}", zone(number)))
        for number in range(entries):
            self.entries.append(Node(self, "entry", f"front-{number + 1}", f"{self.prefix}.{number + 4}", zone(number)))
        self.tasks = []

    def start(self):
        for node in self.controls + self.entries:
            node.start()

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self.tasks.append(task)
        return task

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for node in self.controls + self.entries:
            if node.runs():
                try:
                    node.process.send_signal(signal.SIGCONT)
                except ProcessLookupError:
                    pass
                node.process.kill()
        for node in self.controls + self.entries:
            if node.process is not None:
                node.process.wait()
        kept = os.environ.get("KEEP_LOGS")
        if kept:
            subprocess.run(["cp", "-r", self.folder, kept], check=False)
        self.temporary.cleanup()

    async def wait_ready(self, timeout=20.0):
        """Waits until all entry machines answer the readiness question with 200."""
        end = time.monotonic() + timeout
        for entry in self.entries:
            while True:
                try:
                    status, _, _ = await call((entry.ip, READY), "GET", "/readiness", timeout=1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, ConnectionError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun(f"{entry.name} is not ready")
                await asyncio.sleep(0.1)
            self.record(f"{entry.name} is ready")

    async def operate(self, path, body, timeout=20.0):
        """A call of the operator, sent until it is acknowledged; follows redirects."""
        end = time.monotonic() + timeout
        text = json.dumps(body)
        number = 0
        while time.monotonic() < end:
            target = (self.controls[number % 3].ip, CONTROL)
            number += 1
            try:
                for _ in range(3):
                    status, headers, _ = await call(target, "POST", path, body=text, timeout=1.5)
                    if status != 307:
                        break
                    host, port = headers["location"].split("/")[2].split(":")
                    target = (host, int(port))
                if status == 200:
                    self.record(f"operator: {path} is acknowledged by {target[0]}")
                    return
                if status in (400, 409, 412, 413, 422):
                    raise CannotRun(f"{path} is refused: {status}")
            except (OSError, asyncio.TimeoutError, ConnectionError):
                pass
            await asyncio.sleep(0.2)
        raise CannotRun(f"{path} is not acknowledged")


async def read_head(reader):
    """First line and headers; `None` at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:size]
            if size == 0:
                return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def call(address, method, path, headers=None, body="", timeout=5.0):
    """One request on a connection of its own. Returns status, headers and body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1", "Connection: close"]
            given = {"Host": f"{address[0]}:{address[1]}", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body.encode())}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n" + body).encode())
            await writer.drain()
            first, answered = await read_head(reader)
            return int(first.split(" ")[1]), answered, await read_body(reader, answered)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except asyncio.IncompleteReadError as error:
        raise ConnectionError("the connection ended") from error


class Client:
    """A client that sends one request for each attempt, on a connection of its own."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.answers = []

    async def request(self, entry, method, path, deadline_ms=3000, headers=None, body="", note=""):
        request_id = "%016x" % random.getrandbits(64)
        given = {"Host": HOST, "Request-Id": request_id, "Deadline-Ms": deadline_ms,
                 "Authorization": f"Bearer {KEY}", **(headers or {})}
        record = self.fleet.record
        sent = record.now()
        record(f"client: {request_id} {method} {path} to {entry.name} {note}")
        try:
            status, answered, _ = await call((entry.ip, FRONT), method, path, given, body, deadline_ms / 1000 + 0.2)
            signed = "signed" if "response-signature" in answered else "unsigned"
            record(f"client: {request_id} gets {status} {signed} after {record.now() - sent:.3f} s")
        except (OSError, asyncio.TimeoutError, ConnectionError) as error:
            status = None
            record(f"client: {request_id} gets no answer: {type(error).__name__}")
        self.answers.append((sent, status))
        return request_id, status


class Runner:
    """A runner of a plain service: `slots` requests run at once, `queue` more wait, others get 503."""

    def __init__(self, fleet, name, service, port, slots=6, queue=24, work_s=0.06, zone="north", host=None):
        self.fleet, self.name, self.service = fleet, name, service
        self.address = (host or f"{fleet.prefix}.9", port)
        self.slots, self.queue, self.work_s, self.zone = slots, queue, work_s, zone
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "ready"
        self.arrivals = []
        self.running = 0
        self.waiting = 0
        self.server = None
        self.beating = None
        self.free = asyncio.Condition()
        self.connections = set()
        self.target = random.randrange(3)
        self.acknowledged = None

    async def start(self, beats=True):
        self.server = await asyncio.start_server(self.serve, *self.address)
        self.fleet.record(f"{self.name} ({self.service}) starts at {self.address[0]}:{self.address[1]}, born {self.born}")
        if beats:
            self.beating = self.fleet.spawn(self.beat_periodically())

    def crash(self):
        """Ends at once: connections are reset, and nothing more is said."""
        self.fleet.record(f"{self.name} crashes")
        if self.beating:
            self.beating.cancel()
        if self.server:
            self.server.close()
            self.server = None
        for writer in list(self.connections):
            sock = writer.get_extra_info("socket")
            if sock is not None:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            writer.transport.abort()
        self.connections.clear()
        self.running = self.waiting = 0

    async def beat_periodically(self):
        while True:
            await self.beat()
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    def description(self):
        return {"Service": self.service, "Address": f"{self.address[0]}:{self.address[1]}", "Zone": self.zone,
                "Version": "v1", "Slots": self.slots, "State": self.state, "ColdRemainingMs": 0,
                "Stage": "combined", "Models": [], "Sequence": self.sequence, "born": self.born}

    async def beat(self):
        """Sends a heartbeat until a machine acknowledges it. Returns the time of that."""
        path = f"/instances/{self.name}/heartbeat"
        for _ in range(3):
            self.sequence += 1
            state = self.state
            control = self.fleet.controls[self.target % 3]
            try:
                status, _, _ = await call((control.ip, CONTROL), "POST", path,
                                          {"Content-Type": "application/json"}, json.dumps(self.description()), 1.0)
                if 200 <= status < 300:
                    if state != "ready":
                        self.fleet.record(f"{self.name}: {state}, Sequence {self.sequence}, acknowledged by {control.name}")
                    return self.fleet.record.now()
            except (OSError, asyncio.TimeoutError, ConnectionError):
                pass
            self.target += 1
        return None

    async def deregister(self):
        path = f"/instances/{self.name}/deregister"
        for _ in range(3):
            control = self.fleet.controls[self.target % 3]
            try:
                status, _, _ = await call((control.ip, CONTROL), "POST", path, {"Content-Type": "application/json"},
                                          json.dumps({"born": self.born}), 1.0)
                if 200 <= status < 300:
                    self.fleet.record(f"{self.name}: gone, acknowledged by {control.name}")
                    return
            except (OSError, asyncio.TimeoutError, ConnectionError):
                pass
            self.target += 1

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, path, _ = first.split(" ")
                await self.answer(writer, method, path, headers, body)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError, asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def load(self):
        return f"{self.running},{self.waiting},{self.slots}"

    async def write(self, writer, status, headers, body=b""):
        reasons = {200: "OK", 421: "Misdirected Request", 503: "Service Unavailable"}
        lines = [f"HTTP/1.1 {status} {reasons.get(status, 'Status')}", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await writer.drain()

    def extra_headers(self):
        return {}

    async def answer(self, writer, method, path, headers, body):
        request_id = headers.get("request-id")
        common = {"Instance-Id": self.name, "Server-Load": self.load(), **self.extra_headers()}
        if request_id:
            common["Request-Id"] = request_id
        record = self.fleet.record
        expected = headers.get("expect-instance", self.name)
        if expected != self.name:
            record(f"{self.name}: {request_id} is for {expected}: 421")
            return await self.write(writer, 421, common)
        if path == "/health":
            return await self.write(writer, 200 if self.state == "ready" else 503, common)
        self.arrivals.append((record.now(), request_id, path))
        record(f"{self.name}: {request_id} {method} {path} arrives")
        await self.run(writer, method, path, headers, body, request_id, common)

    async def run(self, writer, method, path, headers, body, request_id, common):
        record = self.fleet.record
        if self.running >= self.slots and self.waiting >= self.queue:
            record(f"{self.name}: {request_id} 503, not run")
            return await self.write(writer, 503, {**common, "Not-Executed": "1", "Server-Load": self.load()})
        self.waiting += 1
        try:
            async with self.free:
                while self.running >= self.slots:
                    await self.free.wait()
                self.running += 1
        finally:
            self.waiting -= 1
        try:
            record(f"{self.name}: {request_id} runs")
            await asyncio.sleep(self.work_s)
        finally:
            self.running = max(0, self.running - 1)
            async with self.free:
                self.free.notify(1)
        await self.write(writer, 200, {**common, "Response-Signature": f"s.{self.name}.{request_id}",
                                       "Server-Load": self.load()}, b"done")


def plain_config(version, routes, services):
    """A configuration of plain routes to plain services."""
    return {
        "Version": version, "Routes": routes, "Services": services,
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1, "Unit": "tokens", "PlainTokens": 200,
                     "RatePerS": 4000000, "Burst": 4000000}],
    }


def route(name, prefix, kind, service, attempts=2, timeout_ms=6000, target_ms=400, **more):
    return {"Name": name, "Host": HOST, "PathPrefix": prefix, "Kind": kind, "TimeoutMs": timeout_ms,
            "TargetLatencyMs": target_ms, "Priority": 2, "Service": service, "MaxAttempts": attempts,
            "Public": False, "Sticky": False, "Resumable": False, **more}


def service(name, connections=110):
    return {"Name": name, "HealthPath": "/health", "MaxConnections": connections, "Protocol": "h1", "Tls": False}


def main(folder, case):
    """Runs `case(record, trouble)`, which returns whether the rule held. Exits with 0, 1 or 2."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder)
    record(f"trouble: {trouble}")
    async def run():
        # If the script is stopped, its processes are ended all the same.
        running = asyncio.ensure_future(asyncio.wait_for(case(record, trouble), 115))
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, running.cancel)
        return await running

    try:
        held = asyncio.run(run())
        record("the rule held" if held else "the rule is broken")
        code = 0 if held else 1
    except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError) as error:
        record(f"the case could not run: {error!r}")
        code = 2
    except Exception as error:  # a fault of the case itself
        record(f"the case could not run: {error!r}")
        import traceback
        traceback.print_exc()
        code = 2
    record.close()
    print({0: "the rule held", 1: "the rule is broken", 2: "the case could not run"}[code])
    sys.exit(code)
