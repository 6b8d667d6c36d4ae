"""After SIGTERM a gateway is not ready at once, serves new requests for a while, cuts off no answer and exits with 0.
SIGHUP has no effect on callers."""
import signal
import socket
import threading
import time

from support.fake_platform import HOST
from support.gateway import Caller, platform_site


def stop_beside_a_long_stream(build):
    """Requests that still arrive while an open stream delays the stop are answered, not met by a closed port."""
    with platform_site(build, events=600, stop_within=9) as (platform, (gateway,)):
        streams = []
        thread = threading.Thread(target=lambda: streams.append(Caller(platform, gateway).send("/text/long")))
        thread.start()
        time.sleep(0.3)
        gateway.terminate()
        time.sleep(3.6)
        plain = Caller(platform, gateway).send("/act/late")
        assert plain.status == 200 and plain.is_whole, plain.__dict__
        generation = Caller(platform, gateway).send("/text/late")
        assert generation.status == 503 and platform.runs[generation.attempt] == 0, generation.__dict__
        thread.join(10)
        assert streams and streams[0].status == 200 and streams[0].is_whole, streams and streams[0].__dict__
        assert gateway.wait_exit(3) == 0, gateway.log_tail()


def stop_beside_requests_in_part(build, memory_mb):
    """A request that has arrived up to any of its bytes, and no further, is answered before the process ends."""
    request = (f"POST /act/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {'0' * 16}\r\nX-Deadline-Ms: 2000\r\n"
               "Content-Length: 2\r\n\r\n{}").encode()
    with platform_site(build, stop_within=5, memory_mb=memory_mb) as (_, (gateway,)):
        gateway.terminate()
        connections = []
        for size in range(1, len(request)):
            connections.append(socket.create_connection((gateway.host, gateway.port), timeout=6))
            connections[-1].sendall(request[:size])
        status = gateway.wait_exit(6)
        answers = [connection.recv(12) for connection in connections]
        assert status == 0 and set(answers) == {b"HTTP/1.1 503"}, (status, set(answers), gateway.log_tail())


def run(build):
    for memory_mb in (None, 128):
        stop_beside_requests_in_part(build, memory_mb)
    stop_beside_a_long_stream(build)
    with platform_site(build, events=150, stop_within=8) as (platform, (gateway,)):
        gateway.send_signal(signal.SIGHUP)
        results = []
        stop = threading.Event()

        def keep_calling(path):
            caller = Caller(platform, gateway)
            while not stop.is_set():
                sent_at = time.monotonic()
                results.append((sent_at, path, caller.send(path)))

        threads = [threading.Thread(target=keep_calling, args=(path,))
                   for path in ("/text/a", "/text/b", "/resume/c", "/act/d", "/read/e")]
        for thread in threads:
            thread.start()
        time.sleep(1)
        stopped_at = time.monotonic()
        gateway.terminate()
        time.sleep(0.2)
        assert not gateway.is_ready()
        time.sleep(2.5)
        stop.set()
        assert gateway.wait_exit(8) == 0, gateway.log_tail()
        assert time.monotonic() - stopped_at < 8
        for thread in threads:
            thread.join()
        cut = [(at - stopped_at, path, answer.__dict__) for at, path, answer in results
               if at - stopped_at < 2.5 and not (answer.status == 200 and answer.is_whole)]
        assert not cut, cut[:3]
        assert any(at > stopped_at for at, _, _ in results)
        assert gateway.log_lines("reloaded") and gateway.log_lines("stopped")
