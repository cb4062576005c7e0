"""Starts a complete deployment on loopback for scripts/demo, scripts/measure and scripts/capacity.

Three data centres with three VMs each, nine engines, three services and the weight store run as
separate processes. Only processes started by this module are stopped, each through its own handle.
"""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
import urllib.request

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
HOST = "127.0.0.1"
DATA_CENTRES = ["dc1", "dc2", "dc3"]
VMS_PER_DATA_CENTRE = 3
ENGINES = 9
SERVICES = 3
OPERATOR_TOKEN = "operator"
OPERATOR_TOKEN_SHA256 = "06e55b633481f7bb072957eabcf110c972e86691c3cfedabe088024bffe42f23"
BASE = "base"
SERVICE = "records"
TEMPLATE = "standard"
READY_TIMEOUT_S = 20
# Exit codes of `medlarlift admin` for committed changes.
DONE, PENDING = 0, 5
STOP_TIMEOUT_S = 8

# Offsets of the port ranges from the base port; all ports lie in one range.
CALLER, ADMIN, PEER, ENGINE, SERVICE_PORT, STORE = 0, 40, 80, 120, 140, 159


def build():
    """Builds the release binary with locked dependencies and returns its path."""
    subprocess.run(["cargo", "build", "--release", "--locked"], cwd=ROOT, check=True)
    target = os.environ.get("CARGO_TARGET_DIR", os.path.join(ROOT, "target"))
    return os.path.join(target, "release", "medlarlift")


def to_yaml(value):
    """Serializes `value` as JSON, which is valid YAML."""
    return json.dumps(value, indent=1) + "\n"


def get_json(port, path, timeout_s=2.0):
    """Returns the JSON at `path`, or None if there is no valid response."""
    try:
        with urllib.request.urlopen(f"http://{HOST}:{port}{path}", timeout=timeout_s) as reply:
            return json.load(reply)
    except (OSError, ValueError):
        return None


def is_ready(port):
    """Returns whether the readiness probe succeeds."""
    try:
        with urllib.request.urlopen(f"http://{HOST}:{port}/readyz", timeout=1.0) as reply:
            return reply.status == 200
    except OSError:
        return False


class AdminError(Exception):
    """Failure of an administration command."""


class Fleet:
    """One deployment in its own temporary folder."""

    def __init__(self, binary, base_port, policy="estimate", loads_per_s=3.0, engine=None,
                 service=None, drain_ms=3_000):
        self.binary = binary
        self.base_port = base_port
        self.policy = policy
        self.loads_per_s = loads_per_s
        self.engine_settings = engine or {}
        self.service_settings = service or {}
        self.drain_ms = drain_ms
        self.temporary = tempfile.TemporaryDirectory(prefix="medlarlift-")
        self.folder = self.temporary.name
        self.processes = {}
        self.last_counts = {}
        self.vms = [
            {"vm": f"vm{index + 1}", "data_centre": DATA_CENTRES[index // VMS_PER_DATA_CENTRE],
             "index": index}
            for index in range(len(DATA_CENTRES) * VMS_PER_DATA_CENTRE)
        ]
        # One VM of each data centre has a disk.
        self.founders = [vm["vm"] for vm in self.vms[::VMS_PER_DATA_CENTRE]]

    def __enter__(self):
        # Without a handler, SIGTERM would leave the child processes running.
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(143))
        return self

    def __exit__(self, *_):
        self.stop()
        self.temporary.cleanup()

    # Addresses

    def port(self, kind, index=0):
        return self.base_port + kind + index

    def address(self, kind, index=0):
        return f"{HOST}:{self.port(kind, index)}"

    def caller_addresses(self, data_centre=None):
        return [
            self.address(CALLER, vm["index"]) for vm in self.vms
            if data_centre in (None, vm["data_centre"])
        ]

    # Processes

    def write(self, name, settings):
        path = os.path.join(self.folder, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(to_yaml(settings))
        return path

    def spawn(self, name, arguments):
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        with log:
            process = subprocess.Popen(
                [self.binary, *arguments], stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.processes[name] = process
        return process

    def start_store(self):
        settings = {"address": self.address(STORE), "loads_per_s": self.loads_per_s}
        path = self.write("store.yaml", settings)
        self.spawn("store", ["standin", "store", "--settings", path])

    def start_engine(self, index, **overrides):
        """Starts engine `index`. A restarted process has no adapters and a new incarnation."""
        data_centre = DATA_CENTRES[index // 3]
        settings = {
            "name": f"engine{index + 1}", "address": self.address(ENGINE, index),
            "data_centre": data_centre, "base": BASE, "store": self.address(STORE),
            "vms": self.caller_addresses(data_centre), "seed": index + 1,
            # One engine of three ignores the fencing token.
            "fence": "ignore" if index % 3 == 2 else "check",
            **self.engine_settings, **overrides,
        }
        path = self.write(f"engine{index + 1}.yaml", settings)
        self.spawn(f"engine{index + 1}", ["standin", "engine", "--settings", path])

    def start_service(self, index, **overrides):
        data_centre = DATA_CENTRES[index]
        settings = {
            "name": f"{SERVICE}{index + 1}", "address": self.address(SERVICE_PORT, index),
            "data_centre": data_centre, "services": [SERVICE],
            "vms": self.caller_addresses(data_centre), "seed": index + 1,
            **self.service_settings, **overrides,
        }
        path = self.write(f"service{index + 1}.yaml", settings)
        self.spawn(f"service{index + 1}", ["standin", "service", "--settings", path])

    def start_vm(self, index):
        vm = self.vms[index]
        settings = {
            "vm": vm["vm"], "data_centre": vm["data_centre"],
            "caller_address": self.address(CALLER, index),
            "admin_address": self.address(ADMIN, index),
            "peer_address": self.address(PEER, index),
            "founders": self.founders,
            "peers": [
                {"vm": other["vm"], "data_centre": other["data_centre"],
                 "peer_address": self.address(PEER, other["index"])}
                for other in self.vms if other is not vm
            ],
            "operator_token_sha256": OPERATOR_TOKEN_SHA256,
            "policy": self.policy,
            "store": {"loads_per_s": self.loads_per_s, "loads_in_flight": 8},
            "log_level": "info", "drain_ms": self.drain_ms,
        }
        if vm["vm"] in self.founders:
            settings["data_folder"] = os.path.join(self.folder, f"{vm['vm']}-data")
            os.makedirs(settings["data_folder"], exist_ok=True)
        path = self.write(f"{vm['vm']}.yaml", settings)
        self.spawn(vm["vm"], ["serve", "--settings", path])

    def start(self, engine_overrides=None, service_overrides=None):
        """Starts every process and waits until every VM is ready."""
        self.start_store()
        for index in range(len(self.vms)):
            self.start_vm(index)
        for index in range(ENGINES):
            self.start_engine(index, **(engine_overrides(index) if engine_overrides else {}))
        for index in range(SERVICES):
            self.start_service(index, **(service_overrides(index) if service_overrides else {}))
        self.wait_ready()

    def wait_ready(self):
        deadline = time.monotonic() + READY_TIMEOUT_S
        waiting = list(self.vms)
        while waiting:
            waiting = [vm for vm in waiting if not is_ready(self.port(CALLER, vm["index"]))]
            self.check_alive()
            if waiting and time.monotonic() > deadline:
                names = ", ".join(vm["vm"] for vm in waiting)
                raise RuntimeError(f"not ready within {READY_TIMEOUT_S} s: {names}")
            time.sleep(0.1)

    def check_alive(self):
        for name, process in self.processes.items():
            if name != "callers" and process.poll() is not None:
                raise RuntimeError(
                    f"{name} ended with status {process.returncode}:\n{self.log_tail(name)}")

    def log_tail(self, name, lines=15):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8",
                  errors="replace") as log:
            return "".join(log.readlines()[-lines:])

    def kill(self, name):
        """Kills one process, like a machine failure, and saves its last counters."""
        self.save_counts(name)
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name, timeout_s):
        """Sends SIGTERM to one process, waits for its end and returns its exit status."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        try:
            return process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            raise RuntimeError(f"{name} did not stop within {timeout_s} s") from None

    def suspend(self, name):
        self.processes[name].send_signal(signal.SIGSTOP)

    def resume(self, name):
        self.processes[name].send_signal(signal.SIGCONT)

    def leader(self):
        """Returns the index of the log leader, according to the log files of the voters."""
        for vm in self.vms:
            if vm["vm"] not in self.founders or vm["vm"] not in self.processes:
                continue
            lines = [line for line in self.log_tail(vm["vm"], 10_000).splitlines()
                     if "leads the log" in line or "is open in" in line]
            if lines and "this VM leads the log" in lines[-1]:
                return vm["index"]
        raise RuntimeError("no VM leads the log")

    def stop(self):
        """Stops every process of this fleet."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        deadline = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.1, deadline - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    # Administration

    def admin(self, *arguments, vm=0):
        """Runs `medlarlift admin` against one VM and returns its output."""
        token_file = os.path.join(self.folder, "operator-token")
        if not os.path.exists(token_file):
            with open(token_file, "w", encoding="utf-8") as file:
                file.write(OPERATOR_TOKEN)
            os.chmod(token_file, 0o600)
        command = [self.binary, "admin", "--server", self.address(ADMIN, vm),
                   "--token-file", token_file, *[str(argument) for argument in arguments]]
        done = subprocess.run(command, capture_output=True, text=True, timeout=15, check=False)
        if done.returncode not in (DONE, PENDING):
            raise AdminError(f"{' '.join(as_strings(arguments))}: {done.stderr.strip()}")
        return done.stdout

    def admin_with_retries(self, *arguments):
        """Runs `medlarlift admin`; retries on failure while the cluster may be bootstrapping."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while True:
            try:
                return self.admin(*arguments)
            except AdminError:
                if time.monotonic() > deadline:
                    raise
                time.sleep(0.3)

    def create_accounts(self, accounts):
        """Creates one template per rate, the accounts with one key each, and the service routes.

        `accounts` maps a name to (rate_tokens_per_s, burst_tokens). Returns the keys by name.
        """
        keys = {}
        for name, (rate, burst) in accounts.items():
            template = f"{TEMPLATE}-{rate}-{burst}"
            self.admin_with_retries(
                "template", "set", template, "--rate-tokens-per-s", rate,
                "--burst-tokens", burst, "--adapters", f"{BASE}:*",
                "--patience", "urgent", "--patience", "patient")
            self.admin_with_retries("account", "create", name, "--template", template)
            granted = json.loads(self.admin_with_retries("key", "grant", name, "--json"))
            keys[name] = granted["key"]
        self.admin_with_retries(
            "route", "set", SERVICE, "--service", SERVICE, "--path-prefix", "/",
            "--method", "POST", "--access", "keyed")
        self.admin_with_retries(
            "route", "set", f"{SERVICE}-reads", "--service", SERVICE, "--path-prefix", "/",
            "--method", "GET", "--access", "keyed", "--repeatable")
        return keys

    # Counters

    def save_counts(self, name):
        counts = self.counts(name)
        if counts is not None:
            self.last_counts.setdefault(name, []).append(counts)

    def counts(self, name):
        """Returns the counters of a running engine, service or store."""
        kinds = {"engine": ENGINE, "service": SERVICE_PORT}
        for kind, offset in kinds.items():
            if name.startswith(kind):
                return get_json(self.port(offset, int(name[len(kind):]) - 1), "/_counts")
        return get_json(self.port(STORE), "/_counts") if name == "store" else None

    def all_counts(self):
        """Returns the counters of all stand-ins by name, including those of killed processes."""
        counts = {name: list(kept) for name, kept in self.last_counts.items()}
        for name in self.processes:
            current = self.counts(name)
            if current is not None:
                counts.setdefault(name, []).append(current)
        return counts


def as_strings(arguments):
    return [str(argument) for argument in arguments]


def total(counts, kind, field):
    """Returns the sum of one counter over all stand-ins whose names start with `kind`."""
    return sum(entry.get(field, 0) for name, entries in counts.items() if name.startswith(kind)
               for entry in entries)


def doubled_orders(counts):
    """Returns the runs of orders beyond the first of each over all services.

    Counts by order id and by body and returns the larger number.
    """
    doubled = 0
    for field in ("runs_by_order", "runs_by_body"):
        runs = {}
        for name, entries in counts.items():
            if not name.startswith("service"):
                continue
            for entry in entries:
                for order, number in entry.get(field, {}).items():
                    runs[order] = runs.get(order, 0) + number
        doubled = max(doubled, sum(number - 1 for number in runs.values()))
    return doubled


class Callers:
    """A process of the load tool."""

    def __init__(self, fleet, settings):
        self.report_path = os.path.join(fleet.folder, "report.json")
        self.table_path = os.path.join(fleet.folder, "table.txt")
        path = fleet.write("callers.yaml", settings)
        os.chmod(path, 0o600)
        with open(self.table_path, "wb") as table:
            self.process = subprocess.Popen(
                [fleet.binary, "standin", "callers", "--settings", path,
                 "--report", self.report_path],
                stdout=table, stdin=subprocess.DEVNULL)
        self.fleet = fleet
        fleet.processes["callers"] = self.process

    def run_for(self, seconds):
        """Waits for `seconds` while the load runs; fails if the load tool ends earlier."""
        try:
            status = self.process.wait(seconds)
        except subprocess.TimeoutExpired:
            return
        raise RuntimeError(f"the load tool ended early with status {status}")

    def wait(self, timeout_s):
        """Waits for the end of the load tool and returns its table and report."""
        status = self.process.wait(timeout_s)
        self.fleet.processes.pop("callers")
        if status != 0:
            raise RuntimeError(f"the load tool ended with status {status}")
        with open(self.table_path, encoding="utf-8") as table:
            text = table.read()
        with open(self.report_path, encoding="utf-8") as report:
            return text, json.load(report)
