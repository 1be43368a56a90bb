"""Measures the control-plane cost of gates and keepers at several fleet sizes; CAPACITY.md is derived from these figures."""

import argparse
import json
import os
import sys
import tempfile
import time

from deployment import Deployment, http

FLEET_SIZES = [48, 192, 576]
WINDOW_S = 8
CHANGES_PER_S = 5
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def make_fleet_file(instances):
    """Returns the text of a fleet file: pools of 12 instances across three data centres."""
    text = 'name = "slopes"\ndata_centres = ["a", "b", "c"]\n'
    text += '[[service]]\nname = "s"\nclass = "counter"\nrun_time_ms = 1\nrequests_per_second = 1\nanswer_within_ms = 1000\n'
    for number in range(instances // 12):
        text += f'[[pool]]\nname = "pool-{number}"\nservices = ["s"]\nmin_available = 6\ninstances_per_data_centre = 4\n'
    return text


def read_process_usage(process):
    """Returns the CPU time in seconds and the resident memory in bytes of a process."""
    with open(f"/proc/{process.popen.pid}/stat", encoding="ascii") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S, int(fields[21]) * PAGE_BYTES


def read_control_bytes(deployment):
    """Returns the control-plane traffic in bytes of each entry instance, summed over its gate and keeper."""
    return [sum(http(entry[role], "/healthz")["control_bytes"] for role in ("keeper", "admin")) for entry in deployment.entries]


def measure(binaries, instances):
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as out:
        out.write(make_fleet_file(instances))
    deployment = Deployment(binaries, out.name, ["a", "b", "c"])
    deployment.publish_fleet()
    time.sleep(2)
    rows = {}

    def measure_window(name, workload):
        before = {key: read_process_usage(process) for key, process in deployment.processes.items()}
        log_before = http(deployment.platform.address, "/observations")
        bytes_before = read_control_bytes(deployment)
        started = time.monotonic()
        count = workload()
        seconds = time.monotonic() - started
        after = {key: read_process_usage(process) for key, process in deployment.processes.items()}
        log_after = http(deployment.platform.address, "/observations")
        bytes_after = read_control_bytes(deployment)
        for role in ("gate", "keeper"):
            keys = [key for key in after if key.startswith(role)]
            rows[f"{name}_{role}_core_percent"] = round(max(100 * (after[key][0] - before[key][0]) / seconds for key in keys), 2)
            rows[f"{name}_{role}_mb"] = round(max(after[key][1] for key in keys) / 1e6, 1)
        keepers = sum(key.startswith("keeper") for key in after)
        rows[f"{name}_log_bytes_per_s_per_keeper"] = round((log_after["log_bytes_read"] - log_before["log_bytes_read"]) / seconds / keepers)
        rows[f"{name}_appends_per_s"] = round((log_after["log_appends"] - log_before["log_appends"]) / seconds, 2)
        instance_bytes = [after - before for before, after in zip(bytes_before, bytes_after)]
        rows[f"{name}_control_bytes_per_s_node"] = round(max(instance_bytes) / seconds)
        rows[f"{name}_count"] = count

    def run_idle():
        time.sleep(WINDOW_S)
        return 0

    def run_setting_changes():
        deadline = time.monotonic() + WINDOW_S
        count = 0
        while time.monotonic() < deadline:
            deployment.ctl("settings", "set", "request.timeout_ms", str(1000 + count), f"pool-{count % (instances // 12)}", check=False)
            count += 1
            time.sleep(1 / CHANGES_PER_S)
        return count

    measure_window("idle", run_idle)
    measure_window("changes", run_setting_changes)
    before = json.loads(deployment.ctl("settings", "get", "retry.budget_percent", "--output=json"))["tree_revision"]
    started = time.monotonic()
    deployment.ctl("settings", "set", "retry.budget_percent", "12")
    deployment.await_state(lambda state: state["settings_revision"] > before, 20)
    rows["change_in_force_s"] = round(time.monotonic() - started, 3)
    deployment.stop()
    os.unlink(out.name)
    return rows


def fit_line(xs, ys):
    """Returns the slope and the intercept of the least-squares line."""
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys)) / sum((x - mean_x) ** 2 for x in xs)
    return slope, mean_y - slope * mean_x


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--sizes", type=int, nargs="+", default=FLEET_SIZES)
    arguments = parser.parse_args()
    measured = {size: measure(arguments.binaries, size) for size in arguments.sizes}
    names = list(next(iter(measured.values())))
    print("| figure | " + " | ".join(f"{size} instances" for size in arguments.sizes) + " | slope per 100 | at 2400 |")
    print("| --- |" + " --- |" * (len(arguments.sizes) + 2))
    for name in names:
        values = [measured[size][name] for size in arguments.sizes]
        slope, intercept = fit_line(arguments.sizes, values)
        print(f"| {name} | " + " | ".join(str(value) for value in values) + f" | {100 * slope:.3f} | {intercept + 2400 * slope:.2f} |")
    print(json.dumps({str(size): rows for size, rows in measured.items()}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
