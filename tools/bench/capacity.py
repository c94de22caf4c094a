#!/usr/bin/env python3
"""Measures what control costs an entry vm at rest, over sizes of the fleet and of the configuration.

Prints one Markdown row for each size: processor time, resident memory and loopback bytes of one
entry process over an idle interval. Bounded in count and time.
"""

import argparse
import os
import sys
import tempfile
import time

import fleet as fleet_module
from fleet import ADMIN_PORT, Fleet
from processes import Processes, get_json, wait_until

SETTLE_SECONDS = 4
INTERVAL_SECONDS = 8
DOMAINS = 3
PORTS_PER_SERVICE = 8


def processor_seconds(pid):
    """User and system time of a process so far."""
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_mb(pid):
    """Resident memory of a process."""
    with open(f"/proc/{pid}/status", encoding="utf-8") as file:
        line = next(line for line in file if line.startswith("VmRSS"))
    return int(line.split()[1]) / 1024


def loopback_bytes():
    """Bytes that crossed the loopback interface so far."""
    with open("/proc/net/dev", encoding="utf-8") as file:
        line = next(line for line in file if line.strip().startswith("lo:"))
    return int(line.split(":")[1].split()[0])


class SizedFleet(Fleet):
    """A fleet whose services list many servers on a few stand-ins' ports."""

    def __init__(self, processes, binary, entries, services, servers):
        super().__init__(processes, binary, "owner", DOMAINS)
        self.entries = entries
        self.service_count = services
        self.server_count = servers

    def config(self):
        """The whole configuration, with this fleet's number of services and servers."""
        whole = super().config()
        ports = [port for group in self.server_ports.values() for port in group]
        shares = [self.server_count // self.service_count +
                  (at < self.server_count % self.service_count)
                  for at in range(self.service_count)]
        whole["services"]["services"] = [
            {"name": f"service-{number}", "hosts": [f"service-{number}.example"],
             "path_prefix": "", "probe_rate": 1, "servers": [
                 {"name": f"server-{at}", "address": "127.0.0.1",
                  "port": ports[(number * PORTS_PER_SERVICE + at) % len(ports)],
                  "failure_domain": self.domains[at % DOMAINS], "slots": 3, "cold_slots": 1}
                 for at in range(share)]}
            for number, share in enumerate(shares)]
        whole["allowances"]["allowances"] = [
            {"plan": plan, "service": f"service-{number}", "weight": 1, "max_in_flight": 0,
             "max_rate": 0}
            for plan in fleet_module.PLANS for number in range(self.service_count)]
        return whole

    def wait_for_owners(self):
        """Waits until every server has its owner."""
        wait_until(lambda: self.owned_servers() == self.server_count, 30,
                   "servers without an owner")


def measure(binary, entries, services, servers):
    """One row: the mean of all entry processes over an idle interval."""
    fleet_module.ENTRY_COUNT = entries
    with tempfile.TemporaryDirectory() as directory, Processes(directory) as processes:
        system = SizedFleet(processes, binary, entries, services, servers)
        system.start()
        time.sleep(SETTLE_SECONDS)
        pids = [processes.running[f"entry-{number}"].pid for number in range(entries)]
        store_before = system.store_counts()
        cpu_before = sum(map(processor_seconds, pids))
        bytes_before = loopback_bytes()
        time.sleep(INTERVAL_SECONDS)
        cpu = (sum(map(processor_seconds, pids)) - cpu_before) / entries / INTERVAL_SECONDS
        sent = (loopback_bytes() - bytes_before) / entries / INTERVAL_SECONDS
        store_after = system.store_counts()
        calls = sum(store_after[kind] - store_before[kind]
                    for kind in ("reads", "writes", "watches", "lists")) / INTERVAL_SECONDS
        memory = sum(map(resident_mb, pids)) / entries
        assert get_json(ADMIN_PORT, "/status") is not None
        return cpu * 100, memory, sent / 1000, calls


def main():
    """Parses the command line and measures each size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binary", default="build/release/sniperock")
    options = parser.parse_args()
    binary = os.path.abspath(options.binary)
    sizes = [(members, 2, 26) for members in (4, 8, 13, 26)]
    sizes += [(13, servers // 8, servers) for servers in (208, 800, 2400, 5800)]
    print("| entry vms | services | servers | core % | resident MB | KB/s | store calls/s |")
    print("|---|---|---|---|---|---|---|")
    for entries, services, servers in sizes:
        try:
            cpu, memory, sent, calls = measure(binary, entries, services, servers)
            print(f"| {entries} | {services} | {servers} | {cpu:.2f} | {memory:.1f} | {sent:.1f} | "
                  f"{calls:.1f} |", flush=True)
        except Exception as fault:  # A size that cannot be measured is a result of its own.
            print(f"| {entries} | {services} | {servers} | not measured: {fault} | | | |",
                  flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
