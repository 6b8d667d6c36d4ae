"""An entry is killed with open streams: all engine memory is freed, and the other entry still serves."""
import itertools

from support.http_calls import wait_for
from support.site import MODEL, small_site

PROMPT = "Soil test of parcel 9 !!length 2000!!"


def run(build):
    with small_site(build, prefills=1, decodes=2, entries=2) as site:
        caller = site.caller("entry-1")
        streams = [caller.stream(MODEL, f"{PROMPT} {number}", 1500) for number in range(3)]
        for stream in streams:
            assert len(list(itertools.islice(stream, 2))) == 2
        wait_for(site.decoding_backend, "an engine decodes")
        site.entries.pop("entry-1").kill()
        site.wait_until_memory_free()
        assert site.caller("entry-2").complete(MODEL, "Still there?", 4).outcome == "answered"
        site.wait_until_memory_free()
        assert not site.violations(), site.violations()
