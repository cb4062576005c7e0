"""A runner of a plain service, as the platform's pages describe it. It announces itself, answers in HTTP/1.1
on kept connections and keeps a record of what it ran."""

import http.client
import itertools
import json
import socket
import threading
import time

from fleet import CONTROL_PORT

SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"


class Runner:
    """One runner. `work` maps a request to (status, headers, body) and may sleep."""

    def __init__(self, fleet, service, number, work, zone=None, version="v1", slots=64, name=None, listen=True):
        self.fleet, self.service, self.work = fleet, service, work
        self.id = name or f"i-{service}-{number:02d}"
        self.zone = zone or fleet.zone_of(number)
        self.version, self.slots = version, slots
        self.born = int(time.time() * 1000)
        self.sequence = itertools.count(1)
        self.state = "ready"
        self.runs = []
        self.lock = threading.Lock()
        self.is_stopped = False
        self.connections = set()
        self.server = socket.socket()
        self.server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.server.bind((f"{fleet.network}.{41 + number}", 0))
        self.server.listen(512)
        self.address = self.server.getsockname()
        threading.Thread(target=self.accept, daemon=True).start()
        self.beating = threading.Thread(target=self.beat, daemon=True)
        self.beating.start()

    def description(self):
        return {
            "Service": self.service,
            "Address": f"{self.address[0]}:{self.address[1]}",
            "Zone": self.zone,
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "ColdRemainingMs": 0,
            "Sequence": next(self.sequence),
            "born": self.born,
        }

    def say(self, what="heartbeat"):
        """One call to control machines, one after the other until one acknowledges it."""
        body = json.dumps(self.description()).encode()
        for control in self.fleet.controls:
            try:
                connection = http.client.HTTPConnection(control.ip, CONTROL_PORT, timeout=1.0)
                connection.request("POST", f"/instances/{self.id}/{what}", body, {"Content-Type": "application/json"})
                if connection.getresponse().status // 100 == 2:
                    return control
            except (OSError, http.client.HTTPException):
                pass
            finally:
                connection.close()
        return None

    def beat(self):
        while not self.is_stopped:
            self.say()
            time.sleep(1.2)

    def accept(self):
        while not self.is_stopped:
            try:
                connection, _ = self.server.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.connections.add(connection)
            threading.Thread(target=self.serve, args=(connection,), daemon=True).start()

    def serve(self, connection):
        try:
            file = connection.makefile("rb")
            while not self.is_stopped:
                request = read_request(file)
                if request is None:
                    return
                if not self.answer(connection, request):
                    return
        except OSError:
            pass
        finally:
            with self.lock:
                self.connections.discard(connection)
            connection.close()

    def answer(self, connection, request):
        expected = request["headers"].get("expect-instance")
        identity = request["headers"].get("request-id", "")
        if expected and expected != self.id:
            send_answer(connection, 421, {"Request-Id": identity, "Instance-Id": self.id}, b"")
            return True
        if request["path"] == "/health":
            send_answer(connection, 200, {"Instance-Id": self.id}, b"")
            return True
        with self.lock:
            self.runs.append((time.monotonic(), identity, request["path"], len(request["body"])))
        status, headers, body = self.work(self, request)
        if status is None:
            return False
        if not isinstance(body, bytes):
            return send_stream(connection, {"Request-Id": identity, "Response-Signature": SIGNATURE, **headers}, body)
        send_answer(connection, status, {"Request-Id": identity, "Response-Signature": SIGNATURE, **headers}, body)
        return True

    def stop(self):
        self.is_stopped = True
        try:
            # Ends the thread that accepts, which would keep the socket open otherwise.
            self.server.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self.server.close()
        with self.lock:
            for connection in self.connections:
                try:
                    connection.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass


def read_request(file):
    """Reads one request, or returns None at the end of the connection."""
    line = file.readline()
    if not line:
        return None
    method, path, _ = line.decode("latin-1").split(" ", 2)
    headers = {}
    while True:
        line = file.readline()
        if line in (b"\r\n", b""):
            break
        name, value = line.decode("latin-1").split(":", 1)
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = file.read(length) if length else b""
    if len(body) < length:
        return None
    return {"method": method, "path": path, "headers": headers, "body": body}


def send_answer(connection, status, headers, body):
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body)


def send_stream(connection, headers, events):
    """Sends events in chunks as they come, and the end of the stream after the last one."""
    lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode("latin-1"))
    for event in events:
        connection.sendall(f"{len(event):x}\r\n".encode() + event + b"\r\n")
    connection.sendall(b"0\r\n\r\n")
    return True
