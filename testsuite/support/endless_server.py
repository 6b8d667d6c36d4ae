"""A backend server whose answers never end, as a process of its own: `endless_server.py KIND`. Prints its port.

Serves reservations and prefills as an engine does, unless KIND says that these never end.
"""
import socket
import sys
import threading
import uuid

FLOOD = b"x" * 65536
HEAD = "HTTP/1.1 {status} OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: seal-{attempt}\r\n"
CHUNKED = "Transfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    return b"%x\r\n" % len(data) + data + b"\r\n"


# Kind -> status, what follows the head, what is repeated for ever.
KINDS = {
    "chunked_body": (200, CHUNKED.encode(), chunk(FLOOD)),
    "body_to_the_end": (200, b"\r\n", FLOOD),
    "long_body": (200, b"Content-Length: 1000000000000\r\n\r\n", FLOOD),
    "error_body": (500, CHUNKED.encode(), chunk(FLOOD)),
    "chunk_extension": (200, CHUNKED.encode() + b"5;a=", FLOOD),
    "trailer": (200, CHUNKED.encode() + b"5\r\nhello\r\n0\r\nT: ", FLOOD),
    "header": (200, b"T: ", FLOOD),
    # A complete answer, and more behind it.
    "after_the_end": (200, b"Content-Length: 31\r\n\r\n{\"attempt\": \"ATTEMPT_ID______\"}", FLOOD),
    "event": (200, b"Content-Type: text/event-stream\r\n" + CHUNKED.encode() + chunk(b"id: 1\ndata: "), chunk(FLOOD)),
    "events": (200, b"Content-Type: text/event-stream\r\n" + CHUNKED.encode(), chunk(b"id: 1\ndata: x\n\n" * 1000)),
}
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000


def read_head(connection, buffer):
    while b"\r\n\r\n" not in buffer:
        received = connection.recv(65536)
        if not received:
            return None, b""
        buffer += received
    head, _, rest = buffer.partition(b"\r\n\r\n")
    fields = {}
    for line in head.decode("latin-1").split("\r\n")[1:]:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    size = int(fields.get("content-length", 0))
    while len(rest) < size:
        rest += connection.recv(65536)
    return (head.decode("latin-1").split(" ")[1], fields), rest[size:]


def flood(connection, kind, attempt):
    if kind == "interim":
        while True:
            connection.sendall(INTERIM)
    status, begin, repeated = KINDS[kind]
    begin = begin.replace(b"ATTEMPT_ID______", attempt.encode())
    connection.sendall(HEAD.format(status=status, attempt=attempt).encode() + begin)
    while True:
        connection.sendall(repeated)


def serve(connection, kind, endless_path):
    buffer = b""
    try:
        while True:
            request, buffer = read_head(connection, buffer)
            if request is None:
                return
            path, fields = request
            is_prefill = "x-stage" in fields
            stage = "reserve" if path == "/api/hold-take" else "prefill" if is_prefill else "run"
            if stage == endless_path:
                flood(connection, kind, fields.get("x-attempt-id", ""))
            body = b'{"hold": "%s", "kv_handle": "k", "tokens": 1, "version": 1}' % uuid.uuid4().hex.encode()
            seal = b"X-Server-Seal: seal-%s\r\n" % fields["x-attempt-id"].encode() if "x-attempt-id" in fields else b""
            connection.sendall(b"HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n" % (seal, len(body)) + body)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    kind, endless_path = sys.argv[1:3]
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    print(f"ready port={listener.getsockname()[1]}", flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection, kind, endless_path), daemon=True).start()


if __name__ == "__main__":
    main()
