"""The leader is suspended before a role command, and a command is carried out late. Its successor learns of the change
from the reports of the engines and changes no other engine, and the former leader s after it wakes up."""
import time

from support.fake_platform import json_response
from support.gateway import platform_site

PREFILLS = 5


def wait_for(condition, seconds, what):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        if condition():
            return
        time.sleep(0.05)
    raise AssertionError(f"{what} is not so after {seconds} s")


def is_leading(gateway):
    changes = gateway.log_lines("membership_changed")
    return bool(changes) and "holds_duty=true" in changes[-1]


class ReportHook:
    """Calls back for each report that an engine is asked for; a busy engine reports one command more, in progress."""

    def __init__(self, engine, on_report):
        self.engine, self.on_report, self.is_busy = engine, on_report, False
        self.handle_request = engine.handle_request
        engine.handle_request = self.handle

    async def handle(self, request, writer, reader, identity):
        if request.path == "/api/report":
            self.on_report()
        if request.path == "/api/report" and self.is_busy:
            writer.write(json_response({"stage": self.engine.role, "busy": True, "seq": 1}, identity))
        else:
            await self.handle_request(request, writer, reader, identity)


def run(build):
    with platform_site(build, gateways=2, prefills=PREFILLS, decodes=3) as (platform, gateways):
        wait_for(lambda: any(map(is_leading, gateways)), 10, "one leader")
        former = next(filter(is_leading, gateways))
        successor = next(gateway for gateway in gateways if gateway is not former)
        frozen = []

        def freeze_former():
            if not frozen:
                frozen.append(time.monotonic())
                former.freeze()

        hooks = [ReportHook(engine, freeze_former) for engine in platform.engines]
        late = hooks[PREFILLS - 1]
        # One decode engine is left, so the leader has to act: it asks an engine for a report and is suspended there.
        for engine in platform.decodes()[1:]:
            engine.role = "prefill"
        wait_for(lambda: frozen, 12, "a request for a report")
        late.is_busy = True
        wait_for(lambda: successor.log_lines("former_changes_read"), 15, "the successor's round of reports")
        assert "changing=1" in successor.log_lines("former_changes_read")[0].split(), successor.log_tail()
        time.sleep(2)
        former.thaw()
        time.sleep(3)
        assert not platform.role_commands, platform.role_commands
        # The change is complete; when decode is short again, the present leader acts, whichever entry that is.
        late.is_busy, late.engine.role = False, "decode"
        time.sleep(2)
        late.engine.role = "prefill"
        wait_for(lambda: platform.role_commands, 30, "a role command")
        leaders = {gateway.name for gateway in gateways if is_leading(gateway)}
        assert {holder.split("/")[0] for _, holder, _ in platform.role_commands} == leaders, platform.role_commands
