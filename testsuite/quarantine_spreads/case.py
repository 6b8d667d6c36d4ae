"""A crashing request in a log outage: messages between processes limit the loss to two servers plus one per entry."""
from support.site import MODEL, small_site

PROMPT = "A prompt that no engine survives !!crash!!"
ENTRIES = ("entry-1", "entry-2", "entry-3")
SERVERS_OF_ONE_CALLER = 2


def run(build):
    with small_site(build, prefills=7, decodes=1, entries=len(ENTRIES)) as site:
        site.control_platform(log_down=True)
        for _ in range(3):
            for entry in ENTRIES:
                answer = site.caller(entry).complete(MODEL, PROMPT, 8)
                assert answer.status >= 400, answer
        dead = [backend.name for backend in site.backends.values() if not backend.server.is_running()]
        assert 1 <= len(dead) <= SERVERS_OF_ONE_CALLER + len(ENTRIES), dead
        for entry in ENTRIES:
            assert site.caller(entry).complete(MODEL, "An innocent prompt", 8).outcome == "answered"
        site.control_platform(log_down=False)
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
        print(f"servers lost with the log down and {len(ENTRIES)} entries: {len(dead)}")
