"""A proxy between one entry machine and one runner that can be cut: connections are reset, and new ones hang as
behind a partition, since the queue of new connections is full."""

import socket
import struct
import threading


class Gate:
    """Listens at `listen` and passes connections on to `target`."""

    def __init__(self, listen, target):
        self.listen, self.target = listen, target
        self.lock = threading.Lock()
        self.open = set()
        self.fillers = []
        self.server = None
        self.heal()

    def bind(self, backlog):
        server = socket.socket()
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(self.listen)
        server.listen(backlog)
        return server

    def heal(self):
        self.close_server()
        self.server = self.bind(128)
        threading.Thread(target=self.accept, args=(self.server,), daemon=True).start()

    def cut(self):
        """Resets all connections and lets new ones hang."""
        self.close_server()
        with self.lock:
            for connection in self.open:
                reset(connection)
            self.open.clear()
        self.server = self.bind(0)
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.listen)
            self.fillers.append(filler)

    def close_server(self):
        if self.server is not None:
            try:
                self.server.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            self.server.close()
        for filler in self.fillers:
            filler.close()
        self.fillers = []

    def accept(self, server):
        while True:
            try:
                connection, _ = server.accept()
            except OSError:
                return
            try:
                other = socket.create_connection(self.target, timeout=1.0)
                other.settimeout(None)
            except OSError:
                reset(connection)
                continue
            for end in (connection, other):
                end.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with self.lock:
                self.open.update((connection, other))
            for source, sink in ((connection, other), (other, connection)):
                threading.Thread(target=self.pump, args=(source, sink), daemon=True).start()

    def pump(self, source, sink):
        try:
            while data := source.recv(65536):
                sink.sendall(data)
        except OSError:
            pass
        for end in (source, sink):
            with self.lock:
                self.open.discard(end)
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
            end.close()


def reset(connection):
    try:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()
