"""Answers without length and chunks are not complete for callers when the application server is killed inside them."""
import os
import signal
import socket

from support.caller import time_ordered_key
from support.site import APPLICATION_SERVICE, small_site

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
PART = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nthe first part"


def serve(listener):
    """Each request has a process of its own, which is killed after it has sent a part of the answer."""
    while True:
        connection, _ = listener.accept()
        if os.fork() == 0:
            try:
                request = connection.recv(65536)
                connection.sendall(WHOLE if request.split(b" ")[1] == b"/ready" else PART)
            finally:
                os.kill(os.getpid(), signal.SIGKILL)
        connection.close()


def run(build):
    with socket.create_server(("127.0.0.1", 0), backlog=64) as listener:
        address = "127.0.0.1:%d" % listener.getsockname()[1]
        process = os.fork()
        if process == 0:
            signal.signal(signal.SIGCHLD, signal.SIG_IGN)
            try:
                serve(listener)
            finally:
                os._exit(1)
        try:
            with small_site(build, prefills=0, decodes=0, applications=0, entries=1) as site:
                site.add_application_at("application-1", address)
                site.wait_until_serving()
                caller = site.caller("entry-1")
                read = caller.read(APPLICATION_SERVICE, "/report")
                assert read.status == 502 and read.outcome != "answered" and "first part" not in read.body, read
                key = time_ordered_key()
                for _ in range(2):
                    action = caller.act(APPLICATION_SERVICE, "/enrol", "household 1", key)
                    assert action.status == 502 and action.outcome == "unknown", action
                assert not site.violations(), site.violations()
        finally:
            os.kill(process, signal.SIGKILL)
            os.waitpid(process, 0)
