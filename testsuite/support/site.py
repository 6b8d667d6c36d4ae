"""A small site on loopback: platform, engines and application servers with their agents, and entries."""
import hashlib
import json
import os
import shutil
import subprocess
from types import SimpleNamespace

from support.caller import Caller
from support.http_calls import call, wait_for
from support.process import Process, new_folder
from support.relay import Relay

WORKSPACE_KEY = "parish-office-key"
OPERATOR_KEY = "desk-operator-key"
MODEL = "reminder-llm"
MODEL_SERVICE = "reminder-llm"
APPLICATION_SERVICE = "care-app"


def sha256(text):
    return hashlib.sha256(text.encode()).hexdigest()


class BackendServer:
    """A backend server with its agent."""

    def __init__(self, name, data_centre, service, kind, server, agent):
        self.name = name
        self.data_centre = data_centre
        self.service = service
        self.kind = kind
        self.server = server
        self.agent = agent
        self.role = None
        self.relay = None

    def control(self, **switches):
        answer = call(self.server.ports["control"], "POST", "/control", switches)
        assert answer.status == 200, answer

    def counts(self):
        return call(self.server.ports["control"], "GET", "/control").json()

    def pieces_held(self):
        return self.counts()["pieces_held"]


class Site:
    """Starts processes with ports that the kernel chooses, and ends all that it started."""

    def __init__(self, build, **agent_settings):
        self.build = build
        self.folder = new_folder()
        self.processes = []
        self.relays = []
        self.backends = {}
        self.entries = {}
        self.agent_settings = agent_settings
        # If true, entries reach each agent through a relay that a case can cut or stall.
        self.has_relays = False
        self.platform = self.start("standin-platform", "platform", "--vm-lag-ms", 50)

    def __enter__(self):
        return self

    def __exit__(self, failure, value, trace):
        for relay in self.relays:
            relay.end()
        for process in self.processes:
            process.end()
        if failure:
            print(f"logs of the processes: {self.folder}")
            for process in self.processes:
                print(f"--- {process.name} (status {process.status()})\n{process.log_tail()[-1500:]}")
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    # Starting.

    def start(self, program, name, *arguments):
        process = Process(self.build / program, arguments, self.folder, name)
        self.processes.append(process)
        return process.start()

    def settings_file(self, name, settings):
        path = os.path.join(self.folder, f"{name}.json")
        with open(path, "w") as file:
            json.dump(settings, file, indent=2)
        return path

    def node_settings(self, name, data_centre):
        return {"nodeName": name, "dataCentre": data_centre, "adminListen": "127.0.0.1:0",
                "peerListen": "127.0.0.1:0", "platform": self.platform.ports["listen"], "logLevel": "info"}

    def add_engine(self, name, role, *flags, data_centre="kgl-nyar"):
        server = self.start("standin-engine", f"{name}-engine", "--role", role, "--model", MODEL, *flags)
        backend = self._add_backend(name, data_centre, MODEL_SERVICE, "engine", server)
        backend.role = role
        return backend

    def add_application(self, name, *flags, data_centre="kgl-nyar"):
        server = self.start("standin-appserver", f"{name}-server", *flags)
        return self._add_backend(name, data_centre, APPLICATION_SERVICE, "application", server)

    def add_application_at(self, name, address, data_centre="kgl-nyar"):
        """An agent for an application server that the case runs itself."""
        server = SimpleNamespace(ports={"listen": address})
        return self._add_backend(name, data_centre, APPLICATION_SERVICE, "application", server)

    def _add_backend(self, name, data_centre, service, kind, server):
        settings = {**self.node_settings(name, data_centre), **self.agent_settings, "service": service,
                    "backend": {"kind": kind, "address": server.ports["listen"]}}
        agent = self.start("peridot-agent", name, "--settings", self.settings_file(name, settings))
        # A restarted agent listens at the same addresses.
        settings.update(peerListen=agent.ports["peers"], adminListen=agent.ports["admin"])
        self.settings_file(name, settings)
        backend = BackendServer(name, data_centre, service, kind, server, agent)
        self.backends[name] = backend
        address = agent.ports["peers"]
        if self.has_relays:
            backend.relay = Relay(address)
            self.relays.append(backend.relay)
            address = backend.relay.address
        self.register_vm(name, address, data_centre, service, kind)
        return backend

    def engine_incarnations_seen(self, backend):
        """Number of incarnations of its engine that the agent has seen."""
        events = call(backend.agent.ports["admin"], "GET", "/timeline").json()["events"]
        return sum(event["kind"] == "engine_restarted" for event in events)

    def restart_server(self, backend):
        """Restarts an ended backend server at its address and waits until its agent has seen the new incarnation."""
        backend.server.wait_exit()
        seen = self.engine_incarnations_seen(backend)
        ports = backend.server.ports
        backend.server.address_flags = ["--listen", ports["listen"], "--control", ports["control"]]
        backend.server.start()
        wait_for(lambda: self.engine_incarnations_seen(backend) > seen,
                 f"the agent of {backend.name} sees the new engine")

    def restart_agent(self, backend):
        backend.agent.wait_exit()
        backend.agent.start()

    def add_entry(self, name, data_centre="kgl-nyar", **more):
        settings = {**self.node_settings(name, data_centre), "listen": "127.0.0.1:0",
                    "operators": [{"name": "desk-operator", "keySha256": sha256(OPERATOR_KEY)}], **more}
        entry = self.start("peridot-entry", name, "--settings", self.settings_file(name, settings))
        self.entries[name] = entry
        return entry

    # The platform.

    def control_platform(self, **switches):
        answer = call(self.platform.ports["control"], "POST", "/control", switches)
        assert answer.status == 200, answer

    def register_vm(self, name, address, data_centre, service, kind):
        self.control_platform(add_vm={"name": name, "address": address, "data_centre": data_centre,
                                      "service": service, "kind": kind, "state": "live"})

    def append(self, stream, record):
        answer = call(self.platform.ports["listen"], "POST", f"/log/{stream}/records", {"records": [record]})
        assert answer.status == 200, answer
        return answer.json()["first_offset"]

    def configure(self, base=0):
        """Confirms a configuration that serves the model on the present engines; returns its version."""
        changes = [{"setService": {"id": MODEL_SERVICE, "kind": "model", "committedShare": 0.5}},
                   {"setService": {"id": APPLICATION_SERVICE, "kind": "application", "committedShare": 0.1}},
                   {"setWorkspace": {"id": "parish-office", "keySha256": sha256(WORKSPACE_KEY),
                                     "priority": "normal"}}]
        for backend in self.backends.values():
            if backend.kind == "engine":
                changes.append({"setEngine": {"agent": backend.name, "service": MODEL_SERVICE, "model": MODEL,
                                              "modelVersion": "1", "adapters": [], "role": backend.role}})
        record = {"kind": "confirmed", "plan": "0123456789abcdef", "base": base, "operator": "desk-operator",
                  "summary": "the first configuration", "changes": changes}
        return self.append("configuration", json.dumps(record)) + 1

    # Waiting and inspection.

    def caller(self, entry=None):
        process = self.entries[entry] if entry else next(iter(self.entries.values()))
        return Caller(process.ports["listen"], WORKSPACE_KEY)

    def wait_until_serving(self):
        """Waits until every entry answers a completion and, if there is an application server, a read."""
        for name in self.entries:
            caller = self.caller(name)
            if any(backend.kind == "engine" for backend in self.backends.values()):
                wait_for(lambda: caller.complete(MODEL, "Are you there?", 2).status == 200, f"{name} serves a model")
            if any(backend.kind == "application" for backend in self.backends.values()):
                wait_for(lambda: caller.read(APPLICATION_SERVICE, "/ready").status == 200, f"{name} serves reads")

    def decoding_backend(self):
        """A backend server whose engine has a decode stream, or None."""
        for backend in self.backends.values():
            if backend.kind == "engine" and backend.server.is_running():
                if any(item["kind"] == "decode" for item in backend.counts()["streams"]):
                    return backend
        return None

    def agent_metric(self, backend, name):
        for line in call(backend.agent.ports["admin"], "GET", "/metrics").body.splitlines():
            if line.startswith(name + " "):
                return float(line.split()[1])
        raise AssertionError(f"no metric {name}")

    def run_count(self, key):
        """Number of runs of the action with this key, over all application servers."""
        servers = [backend for backend in self.backends.values() if backend.kind == "application"]
        return sum(server.counts()["runs"].get(key, 0) for server in servers)

    def wait_until_memory_free(self, seconds=20):
        """Waits until no engine holds KV memory for any stream."""
        engines = [backend for backend in self.backends.values()
                   if backend.kind == "engine" and backend.server.is_running()]
        wait_for(lambda: all(engine.pieces_held() == 0 for engine in engines), "the engines' memory is free", seconds)

    def expected_answer(self, prompt, max_tokens):
        """The deterministic answer of the emulated engine to a prompt."""
        command = [self.build / "standin-engine", "answer", "--max-tokens", str(max_tokens), "--", prompt]
        return subprocess.run(command, capture_output=True, text=True, check=True).stdout

    def violations(self):
        """Metric lines of broken invariants, by process name."""
        found = {}
        processes = list(self.entries.values()) + [backend.agent for backend in self.backends.values()]
        for process in processes:
            if not process.is_running():
                continue
            for line in call(process.ports["admin"], "GET", "/metrics").body.splitlines():
                if line.startswith("peridot_invariant_violations_total") and not line.endswith(" 0"):
                    found[process.name] = line
        return found


def small_site(build, prefills=1, decodes=2, applications=0, entries=1, flags=(), has_relays=False,
               **agent_settings):
    """A configured site whose entries serve."""
    site = Site(build, **agent_settings)
    site.has_relays = has_relays
    try:
        for number in range(prefills):
            site.add_engine(f"prefill-{number + 1}", "prefill", *flags)
        for number in range(decodes):
            site.add_engine(f"decode-{number + 1}", "decode", *flags)
        for number in range(applications):
            site.add_application(f"application-{number + 1}")
        site.configure()
        for number in range(entries):
            site.add_entry(f"entry-{number + 1}")
        # An entry may have read a list without the backends that were started last, and serves without them.
        for name, entry in site.entries.items():
            wait_for(lambda: f"vm_list_changed vms={len(site.backends)}" in entry.log_tail(), f"{name} knows all VMs")
        site.wait_until_serving()
        return site
    except BaseException as failure:
        site.__exit__(type(failure), failure, None)
        raise
