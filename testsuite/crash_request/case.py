"""A request that crashes every engine that runs it takes down at most two, however often it is repeated."""
from support.http_calls import wait_for
from support.site import MODEL, small_site

PROMPT = "A prompt that no engine survives !!crash!!"


def dead_engines(site):
    return [backend for backend in site.backends.values() if not backend.server.is_running()]


def run(build):
    with small_site(build, prefills=4, decodes=1, entries=2) as site:
        first = site.caller("entry-1").complete(MODEL, PROMPT, 8)
        assert first.status >= 400 and first.outcome in ("not-run", "unknown"), first
        assert 1 <= len(dead_engines(site)) <= 2, dead_engines(site)
        for _ in range(3):
            for entry in ("entry-1", "entry-2"):
                again = site.caller(entry).complete(MODEL, PROMPT, 8)
                assert again.status >= 400, again
        dead = dead_engines(site)
        assert len(dead) <= 2, [backend.name for backend in dead]
        assert site.caller("entry-2").complete(MODEL, "An innocent prompt", 8).outcome == "answered"
        for backend in dead:
            site.restart_server(backend)
        wait_for(lambda: site.caller("entry-1").complete(MODEL, PROMPT, 8).status >= 400, "still refused")
        assert not dead_engines(site)
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
