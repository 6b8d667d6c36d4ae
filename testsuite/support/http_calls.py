"""HTTP requests and server-sent events over http.client."""
import http.client
import json
import time


class Answer:
    """A complete response."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    @property
    def outcome(self):
        return self.headers.get("x-peridot-outcome")

    def __repr__(self):
        return f"Answer({self.status}, {self.headers}, {self.body[:300]!r})"


def connect(address, timeout):
    host, port = address.rsplit(":", 1)
    return http.client.HTTPConnection(host, int(port), timeout=timeout)


def call(address, method, path, body=None, headers=None, timeout=20):
    """Sends one request on a new connection."""
    connection = connect(address, timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, headers, response.read().decode())
    finally:
        connection.close()


class EventStream:
    """A response of server-sent events. Iteration yields the data of each event."""

    def __init__(self, address, path, body, headers=None, timeout=30):
        self.connection = connect(address, timeout)
        self.connection.request("POST", path, json.dumps(body), headers or {})
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.headers = {name.lower(): value for name, value in self.response.getheaders()}

    def __iter__(self):
        while True:
            line = self.response.readline()
            if not line:
                return
            if line.startswith(b"data: "):
                yield line[len(b"data: "):].strip().decode()

    def close(self):
        """Closes the connection without reading the rest."""
        if self.connection.sock:
            self.connection.sock.close()
        self.response.close()
        self.connection.close()


def wait_for(condition, what, seconds=20):
    """Waits until `condition()` is true and returns its value; fails with `what` after `seconds`."""
    until = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > until:
            raise AssertionError(f"condition not met within {seconds} s: {what}")
        time.sleep(0.02)
