"""A TCP relay between two processes that can cut, stall, silence, delay and slow their connections."""
import socket
import threading
import time

from support.run_address import run_address


class Relay:
    """Listens on a port of its own and forwards each connection to `target`."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.delay = 0.0
        self.is_cut = False
        self.is_stalled = False
        # Towards the client, over all connections.
        self.bytes_per_s = None
        self.free_at = 0.0
        self.sockets = set()
        # Those whose bytes are dropped.
        self.silent = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server((run_address(), 0))
        self.address = "%s:%d" % self.listener.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Closes all connections, and new ones at once until `restore`."""
        self.is_cut = True
        with self.lock:
            sockets, self.sockets = self.sockets, set()
        for connection in sockets:
            _close(connection)

    def silence_open(self):
        """Drops what the connections that are open now would carry, for good; new ones work."""
        with self.lock:
            self.silent |= self.sockets

    def restore(self):
        self.is_cut = False

    def end(self):
        self.listener.close()
        self.cut()

    def _accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            if self.is_cut:
                client.close()
                continue
            try:
                server = socket.create_connection(self.target, timeout=5)
                server.settimeout(None)
            except OSError:
                client.close()
                continue
            with self.lock:
                self.sockets |= {client, server}
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._forward, args=(source, sink, sink is client), daemon=True).start()

    def _forward(self, source, sink, is_to_client):
        try:
            while data := source.recv(65536 if self.bytes_per_s is None else 8192):
                if self.delay:
                    time.sleep(self.delay)
                while self.is_stalled and not self.is_cut:
                    time.sleep(0.01)
                if self.bytes_per_s and is_to_client:
                    with self.lock:
                        self.free_at = max(self.free_at, time.monotonic()) + len(data) / self.bytes_per_s
                    time.sleep(max(0, self.free_at - time.monotonic()))
                if source not in self.silent:
                    sink.sendall(data)
        except OSError:
            pass
        _close(source)
        _close(sink)


def _close(connection):
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    connection.close()
