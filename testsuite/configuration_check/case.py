"""`peridotctl check-configuration` over the files of this folder: exit status, place of each finding, and no key in any
output."""
import hashlib
import json
import pathlib
import subprocess

FOLDER = pathlib.Path(__file__).resolve().parent


def check(build, *arguments):
    """Returns the exit status and the findings as (severity, place, field), after comparing text and JSON output."""
    command = [build / "peridotctl", "check-configuration", *arguments]
    text = subprocess.run(command, capture_output=True, text=True, timeout=20, cwd=FOLDER)
    done = subprocess.run([*command, "--json"], capture_output=True, text=True, timeout=20, cwd=FOLDER)
    assert text.returncode == done.returncode, (text, done)
    assert "key-secret" not in text.stdout + text.stderr + done.stdout + done.stderr, "a key was printed"
    answer = json.loads(done.stdout)
    assert len(text.stdout.splitlines()) == len(answer["findings"]) + 1, text.stdout
    assert answer["errors"] + answer["warnings"] + answer["notes"] == len(answer["findings"])
    return done.returncode, answer["findings"]


def places(findings):
    return {(each["severity"], each["place"], each["field"]) for each in findings}


def short_hash(key):
    return hashlib.sha256(key.encode()).hexdigest()[:8]


def run(build):
    assert check(build, "in-force.json") == (0, [])
    assert check(build, "in-force.json", "--in-force", "errors.json")[0] == 0

    status, findings = check(build, "errors.json")
    expected = {("error", "route read", "service"), ("error", "route read", "name"), ("error", "route read", "kind"),
                ("error", "route read", "priority"), ("error", "route late", "timeout_ms"),
                ("error", "route nowhere", "host"), ("error", "routes[4]", ""), ("error", "service care", "name"),
                ("error", "services[2]", "name"), ("error", "service engines", "slots"),
                ("error", "tenant orchard", "api_keys"), ("error", "tenant orchard", "rate_per_s"),
                ("error", "tenant mills", "name"), ("error", "tenants[3]", "name")}
    assert status == 2 and expected <= places(findings), (status, expected - places(findings))
    assert any(short_hash("key-secret-one") in each["message"] for each in findings), findings

    status, findings = check(build, "warnings.json")
    expected = {("warning", "route read", "latency target"), ("warning", "route hidden", "path prefix"),
                ("warning", "route bare", "path prefix"), ("warning", "route bare", "attempts"),
                ("warning", "route scheme", "host"), ("warning", "route scheme", "traffic_split"),
                ("warning", "service idle", ""), ("warning", "tenant orchard", "burst"),
                ("warning", "tenant harbour", "burst"), ("warning", "tenant harbour", "keys")}
    assert status == 1 and places(findings) == expected, (status, expected ^ places(findings))

    status, findings = check(build, "warnings.json", "--in-force", "in-force.json")
    notes = {each[1:] for each in places(findings) if each[0] == "note"}
    expected = {("route text", ""), ("route bare", ""), ("route read", "latency target"), ("service reminders", ""),
                ("tenant harbour", ""), ("tenant mills", "keys"), ("tenant orchard", "rate"), ("limits", "idle time-out")}
    assert status == 1 and expected <= notes, expected - notes
    for key, what in (("key-secret-new", "new"), ("key-secret-one", "revoked")):
        assert any(each["message"] == f"the key with the hash {short_hash(key)} is {what}" for each in findings), findings

    # A version that entries would ignore, files that cannot be read.
    status, findings = check(build, "errors.json", "--in-force", "in-force.json")
    assert status == 2 and ("error", "configuration", "version") in places(findings)
    assert check(build, "broken.json")[0] == 2
    assert check(build, "in-force.json", "--in-force", "broken.json")[0] == 2
    assert check(build, "no-such-file.json")[0] == 2
