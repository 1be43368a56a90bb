"""Compares throughput and median latency through the gate with those of the same load sent directly to the stand-in upstream."""

import argparse
import json
import os
import subprocess
import sys
import tempfile

from deployment import Deployment, http

FLEET_TOML = """name = "bench"
data_centres = ["dc"]
[[service]]
name = "echo"
class = "counter"
run_time_ms = 0
requests_per_second = 1
answer_within_ms = 1000
[[pool]]
name = "bench"
services = ["echo"]
min_available = 0
instances_per_data_centre = 4
slots = 64
connections = 256
"""
ROUNDS = 3


def run_load(binaries, fleet, targets, connections, seconds):
    argv = [
        os.path.join(binaries, "mangoload"),
        "--mode=closed",
        "--service=echo",
        f"--gates={','.join(targets)}",
        f"--fleet={fleet}",
        f"--connections={connections}",
        f"--seconds={seconds}",
    ]
    figures = json.loads(subprocess.run(argv, capture_output=True, text=True, check=True).stdout)
    counter = figures["classes"]["counter"]
    return {"per_second": counter["answered"] / figures["seconds"], "p50_us": counter["p50_ms"] * 1000, "p99_us": counter["p99_ms"] * 1000}


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--seconds", type=int, default=3)
    arguments = parser.parse_args()
    with tempfile.NamedTemporaryFile("w", suffix=".toml", delete=False) as out:
        out.write(FLEET_TOML)
    deployment = Deployment(arguments.binaries, out.name, ["dc"], per_data_centre=1, serving_threads=3)
    deployment.publish_fleet()
    gate_addresses = [deployment.entries[0]["callers"]]
    upstream_addresses = [f"{entry['host']}:{entry['port']}" for entry in http(deployment.upstream.address, "/endpoints")]
    results = []
    # Direct and gate measurements alternate, so that other load on the machine affects both alike.
    for _ in range(ROUNDS):
        for connections in (1, 32):
            direct_figures = run_load(arguments.binaries, out.name, upstream_addresses, connections, arguments.seconds)
            gate_figures = run_load(arguments.binaries, out.name, gate_addresses, connections, arguments.seconds)
            results.append({"connections": connections, "direct": direct_figures, "gate": gate_figures})
    deployment.stop()
    os.unlink(out.name)

    def median(values):
        return sorted(values)[len(values) // 2]

    concurrent = [result for result in results if result["connections"] == 32]
    sequential = [result for result in results if result["connections"] == 1]
    throughput_ratio = median([result["gate"]["per_second"] / result["direct"]["per_second"] for result in concurrent])
    added_latency_us = median([result["gate"]["p50_us"] - result["direct"]["p50_us"] for result in sequential])
    for result in results:
        print(
            f"{result['connections']:3} connections: straight {result['direct']['per_second']:8.0f}/s p50 {result['direct']['p50_us']:6.0f} us,"
            f" through the gate {result['gate']['per_second']:8.0f}/s p50 {result['gate']['p50_us']:6.0f} us"
        )
    print(f"throughput ratio {throughput_ratio:.2f} (wanted 0.70), added median latency {added_latency_us:.0f} us (wanted 200)")
    print(json.dumps({"throughput_ratio": round(throughput_ratio, 3), "added_median_us": round(added_latency_us, 1)}))
    return 0


if __name__ == "__main__":
    sys.exit(main())
