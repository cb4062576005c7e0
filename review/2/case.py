"""An entry machine is cut off from all runners for some seconds. Streams that it was about to send go through other
entry machines. After the cut one of these is stopped as planned: the first machine takes the streams up at runners of any
software version."""

import os
import re
import signal
import socket
import subprocess
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib"))

from fleet import CALLER_PORT, Fleet, Record, run  # noqa: E402
from gate import Gate  # noqa: E402
from runner import Runner  # noqa: E402

SERVICE = "huvo11a"
HOST = "ficu95.example"
EVENTS = 58
EVENT_S = 0.2
STREAMS = 30
# The streams are sent within this time from the begin of the cut.
SENDING_S = 0.2
CUT_S = 2.5
TERM_S = 3.0
GRACE_S = 8.0
# Streams with events of two versions before the rule is broken.
MAX_MIXED = 2


def config():
    return {
        "Version": 1,
        "Routes": [
            {
                "Name": "r-fit",
                "Host": HOST,
                "PathPrefix": "/fit/",
                "Kind": "streaming",
                "TimeoutMs": 15000,
                "TargetLatencyMs": 600,
                "Priority": 1,
                "Service": SERVICE,
                "MaxAttempts": 2,
                "Public": False,
                "Sticky": False,
                "Resumable": True,
                "GapAimMs": 300,
            }
        ],
        "Services": [{"Name": SERVICE, "HealthPath": "/health", "MaxConnections": 620, "Protocol": "h1", "Tls": False}],
        "Limits": {"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
        "Tenants": [],
    }


def work(runner, request):
    """A stream of events with rising ids that goes on after `Last-Event-Id`."""
    after = int(request["headers"].get("last-event-id", "0"))
    runner.fleet.record(f"{runner.id}: runs {request['headers']['request-id']} after event {after}")

    def events():
        for number in range(after + 1, EVENTS + 1):
            time.sleep(EVENT_S)
            yield f"id: {number}\ndata: piece {number} by {runner.id} of software {runner.version}\n\n".encode()

    return 200, {}, events()


class Client(threading.Thread):
    def __init__(self, fleet, number):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.identity = f"{number:016x}"
        self.answer = b""

    def run(self):
        head = f"POST /fit/{self.identity} HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {self.identity}\r\nDeadline-Ms: 15000\r\n"
        try:
            with socket.create_connection((self.fleet.entries[0].ip, CALLER_PORT), timeout=1.0) as connection:
                connection.settimeout(16.0)
                connection.sendall((head + "Connection: close\r\nContent-Length: 2\r\n\r\nok").encode())
                while data := connection.recv(65536):
                    self.answer += data
        except OSError as error:
            self.fleet.record(f"client: {self.identity}: {error}")

    def pieces(self):
        """Number, runner and software version of each event, in order."""
        found = re.findall(rb"piece (\d+) by (\S+) of software (\S+)", self.answer)
        return [(int(number), runner.decode(), version.decode()) for number, runner, version in found]


def main():
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(os.path.join(HERE, "record.txt"))
    fleet = Fleet(record, entries=3)
    gate_ip = f"{fleet.network}.61"
    fleet.server_dial_ips[0] = gate_ip
    runners, gates = [], []
    try:
        fleet.start()
        for number in range(4):
            version = "v1" if number % 2 == 0 else "v2"
            runners.append(Runner(fleet, SERVICE, number, work, version=version, slots=64))
        gates = [Gate((gate_ip, runner.address[1]), runner.address) for runner in runners]
        if fleet.put_config(config()) != 200 or not fleet.wait_ready():
            record("the deployment did not start")
            return 2
        time.sleep(3.0)
        begun = time.monotonic()
        if is_troubled:
            for gate in gates:
                gate.cut()
            record("platform: entry-0 is cut off from all runners")
        clients = [Client(fleet, number) for number in range(STREAMS)]
        for client in clients:
            client.start()
            time.sleep(SENDING_S / STREAMS)
        time.sleep(max(0.0, begun + CUT_S - time.monotonic()))
        if is_troubled:
            for gate in gates:
                gate.heal()
            record("platform: the cut has healed")
        time.sleep(max(0.0, begun + TERM_S - time.monotonic()))
        stop_as_planned(fleet.entries[1], record)
        for client in clients:
            client.join()
        return judge(record, clients)
    finally:
        for runner in runners:
            runner.stop()
        for gate in gates:
            gate.close_server()
        fleet.stop()


def stop_as_planned(entry, record):
    """SIGTERM, and SIGKILL after `GraceS`, as the platform stops a process."""
    entry.signal(signal.SIGTERM)
    record(f"platform: {entry.name} gets SIGTERM")
    try:
        entry.child.wait(timeout=GRACE_S)
        record(f"platform: {entry.name} has ended")
    except subprocess.TimeoutExpired:
        entry.signal(signal.SIGKILL)
        record(f"platform: {entry.name} gets SIGKILL")


def judge(record, clients):
    mixed, complete = 0, 0
    for client in clients:
        pieces = client.pieces()
        versions = sorted({version for _, _, version in pieces})
        numbers = [number for number, _, _ in pieces]
        complete += numbers == list(range(1, EVENTS + 1))
        mixed += len(versions) > 1
        hops = [(runner, version) for _, runner, version in pieces]
        changes = [hop for index, hop in enumerate(hops) if index == 0 or hops[index - 1] != hop]
        status = client.answer.split(b"\r\n", 1)[0].decode("latin-1")
        record(f"client: {client.identity} {status!r}, {len(pieces)} events, by {changes}")
    record(f"{complete} of {len(clients)} streams complete, {mixed} hold events of two software versions")
    record("ORDER: broken" if mixed > MAX_MIXED else "ORDER: held")
    return 1 if mixed > MAX_MIXED else 0


if __name__ == "__main__":
    run(main)
