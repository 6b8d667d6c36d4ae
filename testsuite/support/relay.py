"""A TCP relay between two processes: cuts, stalls and delays what passes."""
import socket
import threading
import time


class Relay:
    """Listens on a port of its own and passes each connection on to `target`."""

    def __init__(self, target):
        host, port = target.rsplit(":", 1)
        self.target = (host, int(port))
        self.delay = 0.0
        self.is_cut = False
        self.is_stalled = False
        self.sockets = set()
        self.lock = threading.Lock()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def cut(self):
        """Ends all connections and refuses new ones until `restore`."""
        self.is_cut = True
        with self.lock:
            sockets, self.sockets = self.sockets, set()
        for each in sockets:
            _shut(each)

    def restore(self):
        self.is_cut = False

    def end(self):
        self.listener.close()
        self.cut()

    def _accept(self):
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            if self.is_cut:
                near.close()
                continue
            try:
                far = socket.create_connection(self.target, timeout=5)
                far.settimeout(None)
            except OSError:
                near.close()
                continue
            with self.lock:
                self.sockets |= {near, far}
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._pass, args=(source, sink), daemon=True).start()

    def _pass(self, source, sink):
        try:
            while data := source.recv(65536):
                if self.delay:
                    time.sleep(self.delay)
                while self.is_stalled and not self.is_cut:
                    time.sleep(0.01)
                sink.sendall(data)
        except OSError:
            pass
        _shut(source)
        _shut(sink)


def _shut(each):
    try:
        each.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass
    each.close()
