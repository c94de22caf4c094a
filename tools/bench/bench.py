"""Measures the balancing policies side by side on real processes over loopback."""

import argparse
import os
import signal
import subprocess
import sys
import tempfile
import time

from fleet import ENTRY_COUNT, SERVICES, Fleet
from processes import Processes, StartFailed
from scenarios import SCENARIOS

POLICIES = ["owner", "round_robin", "least_load", "two_choices"]
SECONDS = {"quick": 4.0, "full": 10.0}
LIMIT_SECONDS = {"quick": 300, "full": 900}
COLUMNS = [
    ("policy", "policy", "{}"),
    ("sent", "sent", "{}"),
    ("answered weighted %", "weighted", "{:.3f}"),
    ("not run", "not_run", "{}"),
    ("not run, yet ran", "not_run_ran", "{}"),
    ("unknown", "unknown", "{}"),
    ("wrong", "wrong", "{}"),
    ("50% ms", "p50", "{:.1f}"),
    ("99% ms", "p99", "{:.1f}"),
    ("99.9% ms", "p999", "{:.1f}"),
    ("longest in 2nd half ms", "longest_after", "{:.0f}"),
    ("worst 100 ms, % not answered", "worst_slice", "{:.1f}"),
    ("most in flight (3)", "most_in_flight", "{}"),
    ("most while cold (1)", "most_cold", "{}"),
    ("fell over", "fell_over", "{}"),
    ("doubles", "doubles", "{}"),
    ("probes/s", "probes_per_s", "{:.1f}"),
    ("store calls/s", "store_per_s", "{:.0f}"),
]


def parse_arguments():
    """The command line."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("mode", choices=sorted(SECONDS))
    parser.add_argument("--binary", default="build/release/sniperock")
    parser.add_argument("--append", help="file that the tables are appended to")
    parser.add_argument("--scenario", action="append", choices=[item.name for item in SCENARIOS])
    parser.add_argument("--policy", action="append")
    parser.add_argument("--seed", type=int, default=1)
    return parser.parse_args()


def measure(binary, scenario, policy, seconds, seed):
    """Runs one scenario under one policy on a system of its own."""
    with tempfile.TemporaryDirectory(prefix="sniperock-bench-") as directory:
        with Processes(directory) as processes:
            fleet = Fleet(processes, binary, policy, scenario.domains)
            fleet.start()
            return scenario.run(fleet, seconds, seed)


def measure_all(options):
    """Yields each scenario with its rows: figures, or the reason why there are none."""
    limit = time.monotonic() + LIMIT_SECONDS[options.mode]
    seconds = SECONDS[options.mode]
    for scenario in SCENARIOS:
        if options.scenario and scenario.name not in options.scenario:
            continue
        rows = []
        for policy in options.policy or POLICIES:
            print(f"{scenario.name}: {policy}", file=sys.stderr, flush=True)
            rows.append(measure_row(options, scenario, policy, seconds, limit))
        yield scenario, rows


def measure_row(options, scenario, policy, seconds, limit):
    """One row; a run that fails becomes a row that says why."""
    if time.monotonic() > limit:
        return {"policy": policy, "fault": "not run: time limit"}
    try:
        figures = measure(os.path.abspath(options.binary), scenario, policy, seconds, options.seed)
    except (StartFailed, OSError, ValueError, subprocess.SubprocessError) as fault:
        return {"policy": policy, "fault": f"not run: {fault}"}
    figures["policy"] = policy
    return figures


def format_row(row):
    """A Markdown table row."""
    if "fault" in row:
        return f"| {row['policy']} | {row['fault']} |" + " |" * (len(COLUMNS) - 2)
    return "| " + " | ".join(form.format(row[name]) for _, name, form in COLUMNS) + " |"


def format_reasons(rows):
    """Why calls were not answered, by policy."""
    parts = []
    for row in rows:
        reasons = ", ".join(f"{name} {count}" for name, count in row.get("reasons", {}).items())
        if reasons:
            parts.append(f"{row['policy']}: {reasons}")
    return "Reasons told: " + "; ".join(parts) + "." if parts else "No call was refused."


def format_section(scenario, rows):
    """The table of one scenario."""
    return [f"### {scenario.title}\n",
            "| " + " | ".join(title for title, _, _ in COLUMNS) + " |",
            "|" + "---|" * len(COLUMNS),
            *[format_row(row) for row in rows],
            "\n" + format_reasons(rows) + "\n"]


def machine():
    """Cores and memory."""
    with open("/proc/meminfo", encoding="ascii") as file:
        kib = int(file.readline().split()[1])
    return f"{os.cpu_count()} cores, {kib // 1048576} GiB memory"


def revision():
    """The commit that is measured."""
    result = subprocess.run(["git", "rev-parse", "--short", "HEAD"], capture_output=True,
                            text=True, check=False)
    return result.stdout.strip() or "unknown"


def busy_cores():
    """Load average of the last minute."""
    return f"{os.getloadavg()[0]:.1f}"


def main():
    """Runs everything and prints the tables."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))
    options = parse_arguments()
    text = [f"\n## Policies side by side, {options.mode} run of "
            f"{time.strftime('%Y-%m-%d %H:%M', time.gmtime())} UTC\n",
            f"Command: `make bench BENCH={options.mode}` at {revision()}, seed {options.seed}; "
            f"{machine()}, load average {busy_cores()} before; {ENTRY_COUNT} entry processes, "
            f"{sum(SERVICES.values())} servers, {SECONDS[options.mode]:.0f} s for each row.\n"]
    print("\n".join(text), flush=True)
    for scenario, rows in measure_all(options):
        section = format_section(scenario, rows)
        print("\n".join(section), flush=True)
        text += section
    if options.append:
        with open(options.append, "a", encoding="utf-8") as file:
            file.write("\n".join(text))


if __name__ == "__main__":
    main()
