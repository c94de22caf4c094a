"""A whole system on loopback: platform, servers, entry vms."""

import hashlib
import json
import subprocess
import time

from processes import StartFailed, get_json, post_json, wait_until

PLATFORM_PORT = 21000
SERVER_PORT = 21100
CALLER_PORT = 21200
ADMIN_PORT = 21300
PEER_PORT = 21400
ENTRY_COUNT = 13
SLOTS = 3
COLD_SLOTS = 1
SERVICE_TIME_US = 20_000
COLD_MS = 2_000
REPORT_LAG_MS = 50
START_SECONDS = 20
SERVICES = {"portal": 20, "archive": 6}
PLANS = {"gold": 3, "basic": 1}


def server_capacity(service):
    """Calls a second that a service's servers can bear."""
    return SERVICES[service] * SLOTS * 1_000_000 / SERVICE_TIME_US


class Fleet:
    """Starts every process of one measurement; ended by its Processes."""

    def __init__(self, processes, binary, policy, domains):
        self.processes = processes
        self.binary = binary
        self.policy = policy
        self.domains = [f"domain-{number}" for number in range(domains)]
        self.domains_out = []
        self.server_ports = {}

    def start(self):
        """Starts platform, servers and entry vms, and waits until all serve."""
        self.processes.start("platform", [self.binary, "standin", "platform", "--port",
                                          str(PLATFORM_PORT), "--list-lag-ms", "500"])
        first = SERVER_PORT
        for service, count in SERVICES.items():
            self.start_servers(service, count, first)
            first += count
        wait_until(lambda: get_json(PLATFORM_PORT, "/standin/counts"), START_SECONDS, "platform")
        for ports in self.server_ports.values():
            wait_until(lambda port=ports[-1]: get_json(port, "/.record"), START_SECONDS, "servers")
        self.put_config()
        for number in range(ENTRY_COUNT):
            self.start_entry(number)
        for number in range(ENTRY_COUNT):
            self.wait_for_entry(number)
        self.wait_for_owners()

    def start_servers(self, service, count, first_port):
        """One process hosts all servers of a service, so that it sees every double."""
        self.processes.start(f"servers-{service}", [
            self.binary, "standin", "server", "--name", service, "--port", str(first_port),
            "--count", str(count), "--threads", "2", "--slots", str(SLOTS), "--cold-slots",
            str(COLD_SLOTS), "--cold-ms", str(COLD_MS), "--service-time-us",
            str(SERVICE_TIME_US), "--report-lag-ms", str(REPORT_LAG_MS), "--connect-time-us",
            "1000", "--cold-grace-ms", "20", "--start-warm"])
        self.server_ports[service] = list(range(first_port, first_port + count))

    def start_entry(self, number):
        """Starts one entry vm."""
        path = f"{self.processes.directory}/entry-{number}.ini"
        with open(path, "w", encoding="utf-8") as settings:
            settings.write(
                f"[vm]\nname = vm-{number}\n"
                f"failure_domain = {self.domains[number % len(self.domains)]}\n"
                f"[callers]\nport = {CALLER_PORT + number}\nthreads = 1\nlocate_keep = 1000\n"
                f"[admin]\nport = {ADMIN_PORT + number}\n"
                f"[peers]\nport = {PEER_PORT + number}\n"
                f"[store]\nport = {PLATFORM_PORT}\n"
                f"[schedule]\npolicy = {self.policy}\n")
        self.processes.start(f"entry-{number}", [self.binary, "entry", "--settings", path])

    def wait_for_entry(self, number):
        """Waits until an entry vm answers and has a configuration."""
        def ready():
            self.processes.check(f"entry-{number}")
            status = get_json(ADMIN_PORT + number, "/status")
            return status is not None and status.get("revision", 0) > 0
        wait_until(ready, START_SECONDS, f"entry-{number} has no configuration")

    def wait_for_owners(self):
        """Waits until every server has its owner; without ownership every vm has all servers."""
        wanted = sum(SERVICES.values()) * (1 if self.policy == "owner" else ENTRY_COUNT)

        def ready():
            return self.owned_servers() == wanted
        try:
            wait_until(ready, START_SECONDS, "")
        except StartFailed as fault:
            raise StartFailed(f"{self.owned_servers()} of {wanted} servers owned") from fault

    def owned_servers(self):
        """Servers owned, summed over the entry vms."""
        total = 0
        for number in range(ENTRY_COUNT):
            status = get_json(ADMIN_PORT + number, "/status") or {}
            total += sum(item.get("owned_servers", 0) for item in status.get("services", []))
        return total

    def put_config(self):
        """Replaces the configuration in the store."""
        path = f"{self.processes.directory}/config.json"
        with open(path, "w", encoding="utf-8") as file:
            json.dump(self.config(), file)
        subprocess.run([self.binary, "standin", "config", "--port", str(PLATFORM_PORT), "--file",
                        path], check=True, timeout=START_SECONDS)

    def take_out(self, domain):
        """Takes a failure domain out of service."""
        self.domains_out = [domain]
        self.put_config()

    def take_back(self):
        """Takes every failure domain back into service."""
        self.domains_out = []
        self.put_config()

    def config(self):
        """The whole configuration as the product's JSON."""
        return {
            "revision": 1,
            "plans": {"schema": 1, "plans": [
                {"name": name,
                 "key_hashes": [hashlib.sha256(f"{name}-key".encode()).hexdigest()]}
                for name in PLANS]},
            "allowances": {"schema": 1, "allowances": [
                {"plan": plan, "service": service, "weight": weight, "max_in_flight": 0,
                 "max_rate": 0}
                for plan, weight in PLANS.items() for service in SERVICES]},
            "services": {"schema": 1, "services": [
                {"name": service, "hosts": [f"{service}.example"], "path_prefix": "",
                 "probe_rate": 10, "servers": [
                     {"name": f"{service}-{at}", "address": "127.0.0.1", "port": port,
                      "failure_domain": self.domains[at % len(self.domains)], "slots": SLOTS,
                      "cold_slots": COLD_SLOTS}
                     for at, port in enumerate(self.server_ports[service])]}
                for service in SERVICES]},
            "availability": {"schema": 1, "domains_out": self.domains_out, "vms_out": []},
        }

    def records(self, service):
        """What each server of a service saw."""
        return [get_json(port, "/.record") or {} for port in self.server_ports[service]]

    def command(self, service, at, order):
        """Commands one server."""
        post_json(self.server_ports[service][at], "/.control", order)

    def store_counts(self):
        """The platform's count of calls."""
        return get_json(PLATFORM_PORT, "/standin/counts") or {}

    def warm_up(self):
        """Lets the entry vms open connections and see every server under a light load."""
        self.load(seconds=1.5, share=0.1, seed=99, streams=list(SERVICES)).wait()
        time.sleep(0.2)

    def load(self, seconds, share, seed, streams, steps="", name="warm"):
        """Starts a load that offers a share of the services' capacity."""
        arguments = [self.binary, "load", "--quiet", "--duration-ms", str(int(seconds * 1000)),
                     "--timeout-ms", "2000", "--threads", "2", "--callers", "32", "--seed",
                     str(seed), "--json", f"{self.processes.directory}/{name}.json"]
        for ports in self.server_ports.values():
            arguments += ["--verify", f"127.0.0.1:{ports[0]}"]
        for number in range(ENTRY_COUNT):
            arguments += ["--locate", f"127.0.0.1:{CALLER_PORT + number}"]
        for text in stream_texts(share, streams, steps):
            arguments += ["--stream", text]
        return self.processes.start(f"load-{name}", arguments)


def stream_texts(share, services, steps):
    """Streams that offer a share of the capacity: reads, and one booking in ten."""
    more = f" steps={steps}" if steps else ""
    texts = []
    for service in services:
        rate = server_capacity(service) * share
        for plan in PLANS:
            common = f"plan={plan} key={plan}-key host={service}.example{more}"
            texts.append(f"{common} path=/status rate={rate * 0.45:.1f}")
            texts.append(f"{common} method=POST path=/book body=300 rate={rate * 0.05:.1f}")
    return texts
