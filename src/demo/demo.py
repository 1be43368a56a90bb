"""Demo: runs a deployment under load with one settings change and one maintenance wave; the stand-ins and the load tool check it."""

import argparse
import json
import os
import subprocess
import sys
import threading
import time

from deployment import Deployment, http, OPERATOR_TOKEN

MUST_BE_ZERO = ["wrong", "partial", "cut", "ran_twice", "not_run_but_ran", "budget_breaches", "late_new_work"]
SETTING_CHANGE_AT_S = 6
WAVE_START_AT_S = 8
WAVE_TIMEOUT_S = 90


def print_progress(text):
    print(f"  {text}", flush=True)


def change_setting(deployment):
    """Changes a setting at the root of the settings tree; returns the seconds until every process uses it."""
    before = json.loads(deployment.ctl("settings", "get", "retry.budget_percent", "--output=json"))["tree_revision"]
    started = time.monotonic()
    deployment.ctl("settings", "set", "retry.budget_percent", "12")
    deployment.await_state(lambda state: state["settings_revision"] > before, 20)
    return time.monotonic() - started


def run_wave(deployment, pool, pool_size):
    """Runs a maintenance wave over the pool until it is finished or WAVE_TIMEOUT_S is over; prints its progress."""
    deployment.ctl("wave", "start", pool, "demo")
    started = time.monotonic()
    last_maintained = -1
    while time.monotonic() - started < WAVE_TIMEOUT_S:
        wave = next(wave for wave in json.loads(deployment.ctl("waves", "--output=json")) if wave["wave"] == "demo")
        if wave["maintained"] != last_maintained:
            last_maintained = wave["maintained"]
            print_progress(f"wave: {last_maintained} of {pool_size} maintained; {wave['explanation']}")
        if wave["status"] == "finished":
            break
        time.sleep(0.5)


def print_summary(result):
    print(f"\n{result['deployment']}: {result['answered']} of {result['requests']} requests answered, {result['not_run']} told to come back")
    print(f"  counter work in time  {100 * result['counter_in_time']:.2f} %")
    print(f"  maintained            {result['maintained']} instances in {result['rollout_seconds']:.1f} s")
    print(f"  settings in force     {result['config_seconds']:.2f} s at the slowest process")
    print(f"  buffer cost           {100 * result['buffer_cost']:.1f} % of instance time idle")
    print(f"  moves                 {result['moves']}")
    print("  must be zero          " + ", ".join(f"{name} {result[name]}" for name in MUST_BE_ZERO))


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--deployment", default="kocka-znova")
    parser.add_argument("--seconds", type=int, default=40)
    parser.add_argument("--keep-logs", action="store_true")
    arguments = parser.parse_args()
    fleet = os.path.join(os.path.dirname(__file__), "..", "..", "examples", arguments.deployment, "fleet.toml")
    data_centres = {"kocka-znova": ["kz-a", "kz-b", "kz-c"], "port-louis": ["pl-a", "pl-b", "pl-c"]}[arguments.deployment]
    pool = {"kocka-znova": "sorting", "port-louis": "stock"}[arguments.deployment]

    print(f"starting {arguments.deployment}: 6 entry instances in 3 data centres, 50 executors")
    deployment = Deployment(arguments.binaries, fleet, data_centres)
    print_progress(f"logs in {deployment.folder}")
    deployment.publish_fleet()
    pool_size = len(json.loads(deployment.ctl("instances", pool, "--output=json")))

    print(f"load for {arguments.seconds} s, each queue in turn at five times its mean")
    gates = ",".join(entry["callers"] for entry in deployment.entries)
    load = subprocess.Popen(
        [
            os.path.join(arguments.binaries, "mangoload"),
            f"--gates={gates}",
            f"--readiness={','.join(entry['admin'] for entry in deployment.entries)}",
            f"--fleet={fleet}",
            f"--seconds={arguments.seconds}",
            f"--upstream={deployment.upstream.address}",
        ],
        stdout=subprocess.PIPE,
        text=True,
    )
    figures = {}
    reader = threading.Thread(target=lambda: figures.update(json.loads(load.stdout.read())))
    reader.start()
    time.sleep(SETTING_CHANGE_AT_S)
    config_seconds = change_setting(deployment)
    print_progress(f"setting in force everywhere after {config_seconds:.2f} s")
    time.sleep(max(0, WAVE_START_AT_S - SETTING_CHANGE_AT_S - config_seconds))
    run_wave(deployment, pool, pool_size)
    reader.join()
    load.wait()

    platform = http(deployment.platform.address, "/observations")
    upstream = http(deployment.upstream.address, "/observations")
    unclean = deployment.stop()
    result = {
        "deployment": arguments.deployment,
        "requests": figures["requests"],
        "answered": figures["answered"],
        "counter_in_time": figures["counter_in_time"],
        "wrong": figures["wrong"],
        "partial": figures["partial"],
        "cut": figures["cut"] + upstream["cut"],
        "ran_twice": upstream["ran_twice"],
        "not_run_but_ran": figures["not_run_but_ran"],
        "budget_breaches": platform["budget_breaches"],
        "maintained": platform["maintained"],
        "late_new_work": upstream["late_new_work"],
        "config_seconds": round(config_seconds, 3),
        "rollout_seconds": round(platform["rollout_seconds"], 2),
        "buffer_cost": round(upstream["buffer_cost"], 4),
        "moves": platform["moves"],
        "not_run": sum(figures["classes"][name]["not_run"] for name in figures["classes"]),
        "log_appends": platform["log_appends"],
        "refused_busy": upstream["refused_busy"],
        "refused_leaving": upstream["refused_leaving"],
        "classes": figures["classes"],
        "reasons": figures["reasons"],
    }
    print_summary(result)
    if unclean:
        print(f"did not stop gracefully: {', '.join(unclean)}")
    print(json.dumps(result))
    failed = unclean or any(result[name] != 0 for name in MUST_BE_ZERO) or result["maintained"] < pool_size
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
