"""A client of the site: completions, reads and actions."""
import json
import os
import time
import uuid

from support.http_calls import EventStream, call


def time_ordered_key():
    """A UUIDv7, the required format of an action's Idempotency-Key."""
    millis = int(time.time() * 1000)
    value = (millis << 80) | (0x7 << 76) | (0b10 << 62) | (int.from_bytes(os.urandom(9), "big") & ((1 << 62) - 1))
    value |= int.from_bytes(os.urandom(2), "big") % 4096 << 64
    return str(uuid.UUID(int=value))


class Caller:
    """Sends requests to one entry with the API key of a workspace."""

    def __init__(self, address, key):
        self.address = address
        self.headers = {"Authorization": f"Bearer {key}", "Content-Type": "application/json"}

    def complete(self, model, prompt, max_tokens=16, timeout=60, **headers):
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens}
        return call(self.address, "POST", "/v1/completions", body, {**self.headers, **headers}, timeout)

    def stream(self, model, prompt, max_tokens=16):
        body = {"model": model, "prompt": prompt, "max_tokens": max_tokens, "stream": True}
        return CompletionStream(EventStream(self.address, "/v1/completions", body, self.headers, timeout=60))

    def read(self, service, path, timeout=30):
        return call(self.address, "GET", f"/apps/{service}{path}", None, self.headers, timeout)

    def act(self, service, path, body, key=None, timeout=60, deadline_ms=20000):
        headers = {**self.headers, "Idempotency-Key": key or time_ordered_key(),
                   "X-Request-Timeout-Ms": str(deadline_ms)}
        return call(self.address, "POST", f"/apps/{service}{path}", body, headers, timeout)


class CompletionStream:
    """A streamed completion. Iteration yields the pieces of its text."""

    def __init__(self, events):
        self.events = events
        self.status = events.status
        self.headers = events.headers
        self.finish_reason = None
        self.error = None
        self.is_done = False

    def __iter__(self):
        for event in self.events:
            if event == "[DONE]":
                self.is_done = True
                continue
            data = json.loads(event)
            if "error" in data:
                self.error = data
                continue
            choice = data["choices"][0]
            self.finish_reason = choice.get("finish_reason") or self.finish_reason
            if choice.get("text"):
                yield choice["text"]

    def rest(self):
        return "".join(self)

    def close(self):
        self.events.close()
