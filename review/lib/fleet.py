"""Starts the programs of the deploy file on loopback addresses, with settings like those of a small
deployment. Stands in for the platform: it starts and ends processes and watches their memory."""

import http.client
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
import tomllib
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LINK_PORTS = (7600, 7615)
CONTROL_PORT = 8229
CALLER_PORT = 8221
READY_PORT = 8224
MEMORY_MB = {"control": 256, "entry": 260}


def free_network():
    """Draws a loopback network of 250 addresses whose ports are free."""
    for _ in range(50):
        network = f"127.{random.randint(40, 200)}.{random.randint(1, 250)}"
        ports = [LINK_PORTS[0], CONTROL_PORT, CALLER_PORT, READY_PORT]
        try:
            for port in ports:
                with socket.socket() as probe:
                    probe.bind((f"{network}.11", port))
            return network
        except OSError:
            continue
    raise RuntimeError("no free loopback network")


class Record:
    """Writes what happened to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.lock = threading.Lock()
        self.begun = time.monotonic()

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.begun:9.3f} {text}\n")
            self.file.flush()


class Process:
    """One process of the system on a machine of its own."""

    def __init__(self, fleet, role, number, ip):
        self.fleet, self.role, self.number, self.ip = fleet, role, number, ip
        self.name = f"{role}-{number}"
        self.settings = os.path.join(fleet.folder, f"{self.name}.toml")
        self.child = None
        self.starts = 0

    def start(self, bootstrap=False):
        self.fleet.write_settings(self, bootstrap)
        command = self.fleet.commands[self.role]
        log = open(os.path.join(self.fleet.folder, f"{self.name}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "MEDLARLIFT_SETTINGS": self.settings}
        self.child = subprocess.Popen(
            command, cwd=ROOT, env=environment, stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()
        self.starts += 1

    def signal(self, number):
        self.child.send_signal(number)

    def kill(self):
        if self.child and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        if self.child:
            self.child.wait()

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def memory_mb(self):
        """Resident memory, or None if the process has ended."""
        try:
            with open(f"/proc/{self.child.pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith("VmRSS:"):
                        return int(line.split()[1]) / 1024
        except OSError:
            pass
        return None


class Fleet:
    """A deployment of three control machines and some entry machines."""

    def __init__(self, record, entries=1):
        self.record = record
        # IP address at which an entry machine dials the ports of runners, by number.
        self.server_dial_ips = {}
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.network = free_network()
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            roles = tomllib.load(file)["roles"]
        self.commands = {name: role["run"].split() for name, role in roles.items()}
        if not os.path.exists(os.path.join(ROOT, self.commands["entry"][0])):
            raise RuntimeError("the build of the deploy file is missing")
        self.controls = [Process(self, "control", n, f"{self.network}.{11 + n}") for n in range(3)]
        self.entries = [Process(self, "entry", n, f"{self.network}.{21 + n}") for n in range(entries)]

    def zone_of(self, number):
        return f"zone-{number % 3}"

    def write_settings(self, process, bootstrap):
        is_control = process.role == "control"
        if is_control:
            listen = f'Control = "{process.ip}:{CONTROL_PORT}"'
            data = os.path.join(self.folder, f"data-{process.number}")
            os.makedirs(data, exist_ok=True)
            data = f'DataDir = "{data}"\n'
        else:
            listen = f'Front = "{process.ip}:{CALLER_PORT}"\nReady = "{process.ip}:{READY_PORT}"'
            data = ""
            if process.number in self.server_dial_ips:
                data = f'ServerDialIp = "{self.server_dial_ips[process.number]}"\n'
        seeds = ",".join(f'"{control.ip}:{CONTROL_PORT}"' for control in self.controls)
        served = "control" if is_control else "front"
        zone = self.zone_of(process.number)
        text = f"""NodeName = "{process.name}"
Role = "{process.role}"
MachineClass = "{'core' if is_control else 'front'}"
Serves = ["{served}"]
Ip = "{process.ip}"
Zone = "{zone}"
Region = "r-{zone}"
InternalPortRange = [{LINK_PORTS[0]},{LINK_PORTS[1]}]
Seeds = [{seeds}]
Bootstrap = {str(bootstrap).lower()}
InFaultBudget = {str(is_control).lower()}
Discovery = "registration"
Entry = "vip"
HeartbeatMs = 1200
ConfigMode = "highest"
{data}[Zones]
zone-0 = "r-zone-0"
zone-1 = "r-zone-1"
zone-2 = "r-zone-2"
[Listen]
{listen}
[Limits]
CpuShare = {0.3 if is_control else 0.25}
Cores = 1
MemoryMb = {MEMORY_MB[process.role]}
MaxFds = 4096
LinkMbps = 1000.0
DiskMb = {128 if is_control else 0}
[FaultTolerance]
Machines = 1
Zones = 0
Regions = 0
[Bounds]
SeedLagS = 3
AddressReuseS = 2
ContactMs = 4000
AckMs = 5000
CatchUpS = 4
DrainMs = 3000
GraceS = 8
LossSlackMs = 200
ConfigApplyMs = 3000
RollbackSlackMs = 250
MaxStretchMs = 6000
RetryBudgetRatio = 0.2
BudgetWindowS = 10
BudgetSlack = 56
QuotaWindowS = 8
QuotaOverage = 0.1
QuotaSlack = 17000
RecoveryS = 12
PassMs = 400
RequireFencing = true
LeaseMs = 3000
ThawMs = 300
version_ms = 5000
"""
        with open(process.settings, "w", encoding="utf-8") as file:
            file.write(text)

    def start(self):
        for process in self.controls + self.entries:
            process.start(bootstrap=True)

    def stop(self):
        for process in self.controls + self.entries:
            process.kill()
        shutil.rmtree(self.folder, ignore_errors=True)

    def log_text(self, process):
        path = os.path.join(self.folder, f"{process.name}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return file.read()

    def control_call(self, method, path, body=None, first=0, timeout=3.0, redirects=2):
        """One call of the operator to one control machine; it follows a 307 twice."""
        address = (self.controls[first].ip, CONTROL_PORT)
        for _ in range(redirects + 1):
            connection = http.client.HTTPConnection(*address, timeout=timeout)
            try:
                headers = {"Content-Type": "application/json"} if body is not None else {}
                connection.request(method, path, body=body, headers=headers)
                answer = connection.getresponse()
                text = answer.read()
                if answer.status != 307:
                    return answer.status, text
                host, port = answer.getheader("Location").split("/")[2].split(":")
                address = (host, int(port))
            except (OSError, http.client.HTTPException) as error:
                return 0, str(error).encode()
            finally:
                connection.close()
        return 307, b""

    def put_config(self, config, patience_s=20.0):
        """Sends a configuration until it is acknowledged, to one machine after the other."""
        body = json.dumps(config, separators=(",", ":")).encode()
        return self.order("/config/put", body, patience_s)

    def order(self, path, body, patience_s=20.0):
        """Sends an order of the operator until a 2xx answer, to one machine after the other."""
        until = time.monotonic() + patience_s
        first, pause = random.randrange(3), 0.05
        while time.monotonic() < until:
            status, _ = self.control_call("POST", path, body, first)
            if status in (200, 400, 409, 412, 413, 422):
                return status
            first = (first + 1) % 3
            time.sleep(pause)
            pause = min(pause * 1.5, 1.0)
        return 0

    def wait_ready(self, limit_s=20.0):
        until = time.monotonic() + limit_s
        waiting = list(self.entries)
        while waiting and time.monotonic() < until:
            waiting = [entry for entry in waiting if not is_ready(entry)]
            time.sleep(0.05)
        return not waiting


def run(main):
    """Ends with the status that `main` returns, or with 2 if the case couldn't run."""
    try:
        status = main()
    except Exception:
        traceback.print_exc()
        status = 2
    sys.exit(status)


def is_ready(entry):
    """One readiness check of the platform."""
    connection = http.client.HTTPConnection(entry.ip, READY_PORT, timeout=1.0)
    try:
        connection.request("GET", "/readiness")
        return connection.getresponse().status == 200
    except (OSError, http.client.HTTPException):
        return False
    finally:
        connection.close()
