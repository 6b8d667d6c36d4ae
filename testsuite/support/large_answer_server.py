"""A plain server as a process of its own. Prints its port. Answers paths under `/large/` with `LARGE_BYTES` bytes, all
others with some; it reads the body of a request before it answers."""
import socket
import sys
import threading

from endless_server import read_head

LARGE_BYTES = 3_500_000


def serve(connection):
    buffer = b""
    try:
        while True:
            begin = connection.recv(1, socket.MSG_PEEK)
            is_large = connection.recv(64, socket.MSG_PEEK).split(b" ")[1].startswith(b"/large/") if begin else False
            request, buffer = read_head(connection, buffer)
            if request is None:
                return
            attempt = request[1].get("x-attempt-id", "")
            body = b'{"attempt": "%s"}' % attempt.encode()
            if is_large:
                body += b" " * (LARGE_BYTES - len(body))
            connection.sendall(b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Seal: seal-%s\r\nContent-Length: %d\r\n"
                               b"\r\n" % (attempt.encode(), attempt.encode(), len(body)) + body)
    except OSError:
        pass
    finally:
        connection.close()


def main():
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)
    print(f"ready port={listener.getsockname()[1]}", flush=True)
    while True:
        connection, _ = listener.accept()
        threading.Thread(target=serve, args=(connection,), daemon=True).start()


if __name__ == "__main__":
    sys.exit(main())
