"""What is done to a running system while a load measures it."""

import json
import time


KILLED_ENTRY = 4
SLOW_SERVER = 3
SLOW_FACTOR = 10
RESTARTED_SERVERS = (5, 12)
WEIGHTS = {"portal non_idempotent": 5, "portal safe": 1, "archive safe": 2,
           "archive non_idempotent": 5}


class Scenario:
    """One kind of measurement."""

    def __init__(self, name, title, domains, share, services, action, steps=None):
        self.name = name
        self.title = title
        self.domains = domains
        self.share = share
        self.services = services
        self.action = action
        self.steps = steps

    def run(self, fleet, seconds, seed):
        """Runs the load with the action in its midst. @return figures by name."""
        fleet.warm_up()
        before = {service: fleet.records(service) for service in fleet.server_ports}
        store_before = fleet.store_counts()
        steps = f"{int(seconds * 500)}:{self.steps}" if self.steps else ""
        load = fleet.load(seconds, self.share, seed, self.services, steps, "measured")
        begin = time.monotonic()
        self.action(fleet, seconds, begin)
        load.wait(seconds + 20)
        after = {service: fleet.records(service) for service in fleet.server_ports}
        with open(f"{fleet.processes.directory}/measured.json", encoding="utf-8") as file:
            result = json.load(file)
        figures = load_figures(result, seconds)
        figures.update(server_figures(before, after, seconds))
        figures["store_per_s"] = store_rate(store_before, fleet.store_counts(), seconds)
        return figures


def load_figures(result, seconds):
    """Figures of what callers got."""
    total = result["total"]
    weighted_sent = 0
    weighted_answered = 0
    for row in result["rows"]:
        weight = WEIGHTS[f"{row['service']} {row['class']}"]
        weighted_sent += weight * row["sent"]
        weighted_answered += weight * row["answered"]
    second_half = result["timeline"][int(seconds * 5):int(seconds * 10)]
    worst = max((slice_["not_run"] + slice_["lost"]) / max(1, slice_["sent"])
                for slice_ in result["timeline"])
    return {
        "sent": total["sent"],
        "answered": total["answered"],
        "weighted": 100.0 * weighted_answered / max(1, weighted_sent),
        "not_run": total["not_run"],
        "unknown": total["unknown"] + total["cut_off"] + total["timed_out"] + total["failed"],
        "wrong": total["crossed"] + total["damaged"] + total["doubled"],
        "not_run_ran": result["not_run_ran"],
        "p50": total["p50_ms"],
        "p99": total["p99_ms"],
        "p999": total["p999_ms"],
        "longest_after": max(slice_["max_ms"] for slice_ in second_half),
        "worst_slice": 100.0 * worst,
        "reasons": total["reasons"],
    }


def server_figures(before, after, seconds):
    """Figures of what the servers saw during the load."""
    def grown(field):
        return sum(new.get(field, 0) - old.get(field, 0)
                   for service in after
                   for new, old in zip(after[service], before[service]))
    records = [record for service in after.values() for record in service]
    # One process hosts a service's servers, so each record of it tells the same doubles.
    doubles = sum(service[0].get("process", {}).get("doubles", 0) for service in after.values())
    return {
        "most_in_flight": max(record.get("most_in_flight", 0) for record in records),
        "most_cold": max(record.get("most_cold_in_flight", 0) for record in records),
        "fell_over": grown("fell_over"),
        "probes_per_s": grown("probes") / seconds,
        "probe_share": 100.0 * grown("probes") / max(1, grown("calls")),
        "doubles": doubles,
    }


def store_rate(before, after, seconds):
    """Store calls a second over all entry vms."""
    kinds = ("reads", "writes", "watches", "lists")
    return sum(after.get(kind, 0) - before.get(kind, 0) for kind in kinds) / seconds


def sleep_until(begin, seconds):
    """Sleeps until a time after begin."""
    time.sleep(max(0.0, begin + seconds - time.monotonic()))


def nothing(_fleet, _seconds, _begin):
    """The load alone is the matter."""


def slow_neighbour(fleet, seconds, begin):
    """One server becomes slow for the second half."""
    sleep_until(begin, seconds * 0.5)
    fleet.command("portal", SLOW_SERVER, {"slow_factor": SLOW_FACTOR,
                                          "slow_ms": int(seconds * 1000)})


def cold_restart(fleet, seconds, begin):
    """Two servers restart cold, one after the other."""
    for number, at in enumerate(RESTARTED_SERVERS):
        sleep_until(begin, seconds * (0.3 + 0.2 * number))
        fleet.command("portal", at, {"restart": True})


def sudden_cold(fleet, seconds, begin):
    """Two warm servers turn cold without warning."""
    for number, at in enumerate(RESTARTED_SERVERS):
        sleep_until(begin, seconds * (0.3 + 0.2 * number))
        fleet.command("portal", at, {"phase": "cold"})


def domain_out_and_back(fleet, seconds, begin):
    """An operator takes a failure domain out and back."""
    sleep_until(begin, seconds * 0.3)
    fleet.take_out(fleet.domains[0])
    sleep_until(begin, seconds * 0.7)
    fleet.take_back()


def entry_killed(fleet, seconds, begin):
    """An entry vm is killed and comes back."""
    sleep_until(begin, seconds * 0.3)
    fleet.processes.kill(f"entry-{KILLED_ENTRY}")
    sleep_until(begin, seconds * 0.7)
    fleet.start_entry(KILLED_ENTRY)


SCENARIOS = [
    Scenario("double", "Load that doubles in 1 ms (40% to 80% of capacity)", 3, 0.4, ["portal"],
             nothing, steps=2),
    Scenario("slow", "One slow neighbour: a server ten times slower from half-way (60%)", 3, 0.6,
             ["portal"], slow_neighbour),
    Scenario("cold", "Cold restart of two servers under load (80%)", 3, 0.8, ["portal"],
             cold_restart),
    Scenario("sudden", "Two warm servers turn cold without warning (60%)", 3, 0.6, ["portal"],
             sudden_cold),
    Scenario("domain", "A failure domain of four leaves and returns (50%)", 4, 0.5,
             ["portal", "archive"], domain_out_and_back),
    Scenario("entry", "An entry vm is killed and restarted (50%)", 3, 0.5, ["portal", "archive"],
             entry_killed),
]
