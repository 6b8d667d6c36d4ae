"""All request kinds through a gateway: streams over prefill and decode, an action, a read, bad requests and metrics;
nothing is held afterwards."""
import http.client
import socket

from support.gateway import Caller, platform_site


def raw_exchange(gateway, data):
    with socket.create_connection((gateway.host, gateway.port), timeout=3) as connection:
        connection.sendall(data)
        return connection.recv(4096)


def run(build):
    with platform_site(build, gateways=2) as (platform, (gateway, other)):
        caller = Caller(platform, gateway)
        for path in ("/text/a", "/resume/b", "/text/c"):
            answer = caller.send(path)
            assert answer.status == 200 and answer.is_whole and answer.events == platform.events, answer.__dict__
        assert Caller(platform, other).send("/act/enrol").status == 200
        assert caller.send("/read/balance?household=7", "GET", b"").status == 200
        assert caller.send("/nowhere/x").status == 404
        for data in (b"POST /act/x HTTP/1.1\r\nHost: site.example\r\nTransfer-Encoding: xchunked\r\n\r\n",
                     b"POST /act/x HTTP/1.1\r\nHost: site.example\r\nContent-Length: 2\r\n"
                     b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
                     b"POST /act/x HTTP/1.1\r\nHost: site.example\r\n\r\n"):
            head = raw_exchange(gateway, data)
            assert head.startswith(b"HTTP/1.1 400"), (data, head)
        # The caller disconnects during a stream: the run ends, and its memory is freed at once.
        caller.send("/text/leaves", disconnect_after=100)
        platform.wait_until_idle(2)
        text = gateway.metrics()
        assert "peridot_gateway_first_event_seconds" in text and 'outcome="answered"' in text, text
        assert gateway.log_lines("started") and gateway.log_lines("request_ended")
