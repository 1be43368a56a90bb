"""End-to-end tests: real processes on loopback, one failure per test; the stand-ins and the load tool check the results."""

import argparse
import http.client
import json
import os
import signal
import socket
import subprocess
import sys
import time
import unittest
import urllib.error
import urllib.request

from deployment import Deployment, OPERATOR_TOKEN, http as call

FLEET = os.path.join(os.path.dirname(__file__), "..", "..", "examples", "kocka-znova", "fleet.toml")
DATA_CENTRES = ["kz-a", "kz-b", "kz-c"]
BINARIES = None
LARGE_BODY_BYTES = 8 * 1024 * 1024
AWAIT_TIMEOUT_S = 20


def post(address, target, body=b"x", headers=None):
    """Sends a POST request to a gate; returns the status and the parsed JSON body."""
    connection = http.client.HTTPConnection(address, timeout=30)
    connection.request("POST", target, body=body, headers=headers or {})
    answer = connection.getresponse()
    text = answer.read()
    connection.close()
    return answer.status, json.loads(text)


def exchange_raw(address, data, timeout_s=15):
    """Sends raw bytes and returns everything received until the gate closes the connection."""
    host, port = address.split(":")
    with socket.create_connection((host, int(port)), timeout=timeout_s) as sock:
        sock.sendall(data)
        received = b""
        while True:
            chunk = sock.recv(65536)
            if not chunk:
                return received
            received += chunk


def await_value(read, timeout_s=AWAIT_TIMEOUT_S):
    """Polls read() until it returns a true value and returns that value; fails the test on timeout."""
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        value = read()
        if value:
            return value
        time.sleep(0.05)
    raise AssertionError("read() returned no true value before the timeout")


class EndToEnd(unittest.TestCase):
    """All tests share one deployment; each test restores what it stopped or changed."""

    @classmethod
    def setUpClass(cls):
        cls.deployment = Deployment(BINARIES, FLEET, DATA_CENTRES, serving_threads=2)
        cls.deployment.publish_fleet()
        cls.gates = [entry["callers"] for entry in cls.deployment.entries]

    @classmethod
    def tearDownClass(cls):
        unclean = cls.deployment.stop()
        if unclean:
            raise AssertionError(f"did not stop gracefully: {unclean}")

    def start_load(self, seconds):
        argv = [
            os.path.join(BINARIES, "mangoload"),
            f"--gates={','.join(self.gates)}",
            f"--readiness={','.join(entry['admin'] for entry in self.deployment.entries)}",
            f"--fleet={FLEET}",
            f"--seconds={seconds}",
            "--scale=0.3",
            "--large_bodies=4",
            f"--seed={int(time.monotonic() * 1000)}",
            f"--upstream={self.deployment.upstream.address}",
        ]
        return subprocess.Popen(argv, stdout=subprocess.PIPE, text=True)

    def check_load(self, load):
        figures = json.loads(load.stdout.read())
        load.wait()
        self.assertEqual(figures["wrong"], 0, figures)
        self.assertEqual(figures["partial"], 0, figures)
        self.assertEqual(figures["not_run_but_ran"], 0, figures)
        observed = call(self.deployment.upstream.address, "/observations")
        self.assertEqual(observed["ran_twice"], 0)
        return figures

    def test_whole_answer_to_large_body(self):
        status, answer = post(self.gates[0], "/v1/part-identification", b"p" * LARGE_BODY_BYTES, {"X-Request-Id": "large-1"})
        self.assertEqual((status, answer["id"]), (200, "large-1"))

    def test_large_bodies_use_bounded_memory(self):
        pid = self.deployment.processes["gate-kz-a-1"].popen.pid

        def resident_bytes():
            with open(f"/proc/{pid}/statm", encoding="ascii") as statm:
                return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")

        before = resident_bytes()
        for _ in range(4):
            post(self.gates[0], "/v1/part-identification", b"p" * LARGE_BODY_BYTES)
        self.assertLess(resident_bytes() - before, LARGE_BODY_BYTES // 2)

    def test_bad_requests_get_a_verdict(self):
        cases = [
            (b"garbage\r\n\r\n", b"400"),
            (b"POST /v1/part-identification HTTP/1.1\r\nHost: x\r\nContent-Length: 99999999999\r\n\r\n", b"413"),
            (b"POST /v1/part-identification HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", b"411"),
            (b"POST /v1/nothing HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", b"404"),
            (b"GET /state HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n", b"404"),
            (b"POST /v1/inventory-reconciliation HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx", b"400"),
        ]
        for data, status in cases:
            answer = exchange_raw(self.gates[0], data)
            self.assertIn(b"HTTP/1.1 " + status, answer, data)
            self.assertIn(b'"verdict":"not-run"', answer, data)

    def test_silent_caller_is_disconnected(self):
        self.assertEqual(exchange_raw(self.gates[0], b"POST /v1/part"), b"")

    def test_operator_and_peer_endpoints_require_tokens(self):
        entry = self.deployment.entries[0]
        for address, path, body in [
            (entry["admin"], "/state", None),
            (entry["keeper"], "/state", None),
            (entry["keeper"], "/v1/fleet", None),
            (entry["keeper"], "/v1/records", []),
            (entry["keeper"], "/v1/jobs/x", None),
            (entry["keeper"], "/peer/pull", {}),
            (entry["keeper"], "/peer/submit", {}),
            (entry["keeper"], "/peer/claim", {}),
            (entry["keeper"], "/peer/job", {}),
            (entry["keeper"], "/peer/exchange", {}),
        ]:
            for token in (None, "wrong"):
                with self.assertRaises(urllib.error.HTTPError) as raised:
                    call(address, path, body, token)
                self.assertEqual(raised.exception.code, 401, path)
                raised.exception.close()
        with urllib.request.urlopen(f"http://{entry['admin']}/metrics", timeout=5) as answer:
            self.assertIn(b"mangocourse_settings_revision", answer.read())

    def test_a_key_runs_once_across_gates(self):
        headers = {"Idempotency-Key": "order-1", "X-Team": "sorting"}
        first = await_value(lambda: self.job_outcome(self.gates[0], headers))
        repeated = await_value(lambda: self.job_outcome(self.gates[1], headers))
        self.assertEqual(first, repeated)
        self.assertEqual(call(self.deployment.upstream.address, "/observations")["ran_twice"], 0)
        self.assertIn("finished", self.deployment.ctl("job", "sorting:order-1"))

    @staticmethod
    def job_outcome(gate, headers):
        status, answer = post(gate, "/v1/inventory-reconciliation", b"order", headers)
        return answer if status == 200 else None

    def test_graceful_gate_stop_cuts_no_requests(self):
        load = self.start_load(6)
        time.sleep(2)
        self.addCleanup(self.restart_gate, 2)
        self.assertEqual(self.deployment.processes["gate-kz-b-1"].stop(), 0)
        figures = self.check_load(load)
        self.assertEqual(figures["cut"], 0, figures["reasons"])
        self.assertNotIn("cannot connect", figures["reasons"])

    def restart_gate(self, index):
        entry = self.deployment.entries[index]
        self.deployment.start_gate(entry)
        self.deployment.await_state(lambda state: any(line["takes_new_work"] for line in state["executors"]), AWAIT_TIMEOUT_S, [entry["admin"]])

    def test_killed_keepers_do_not_interrupt_traffic(self):
        load = self.start_load(6)
        time.sleep(1)
        self.addCleanup(self.deployment.await_state, lambda state: True, AWAIT_TIMEOUT_S)
        self.addCleanup(self.deployment.start_keeper, self.deployment.entries[0])
        self.addCleanup(self.deployment.processes["keeper-kz-c-2"].signal, signal.SIGCONT)
        self.deployment.processes["keeper-kz-a-1"].kill()
        self.deployment.processes["keeper-kz-c-2"].signal(signal.SIGSTOP)
        figures = self.check_load(load)
        self.assertEqual(figures["cut"], 0, figures["reasons"])
        self.assertGreater(figures["counter_in_time"], 0.999, figures)

    def test_killed_gate_runs_nothing_twice(self):
        load = self.start_load(6)
        time.sleep(2)
        self.addCleanup(self.restart_gate, 4)
        self.deployment.processes["gate-kz-c-1"].kill()
        self.check_load(load)

    def test_log_outage_serves_requests_and_refuses_changes(self):
        platform = self.deployment.platform.address
        before = json.loads(self.deployment.ctl("settings", "get", "jobs.lease_ms", "--output=json"))
        self.addCleanup(call, platform, "/faults/log", {"mode": "none"})
        call(platform, "/faults/log", {"mode": "down"})
        load = self.start_load(4)
        refused = self.deployment.ctl("settings", "set", "jobs.lease_ms", "20000", check=False)
        self.assertIn("not-run", refused)
        status, answer = post(self.gates[0], "/v1/inventory-reconciliation", b"x", {"Idempotency-Key": "during-outage"})
        self.assertEqual((status, answer["verdict"]), (503, "not-run"))
        figures = self.check_load(load)
        self.assertGreater(figures["counter_in_time"], 0.999, figures)
        call(platform, "/faults/log", {"mode": "none"})
        self.deployment.await_state(lambda state: state.get("role") == "gate" or state["fleet_follower"]["reachable"], AWAIT_TIMEOUT_S)
        after = json.loads(self.deployment.ctl("settings", "get", "jobs.lease_ms", "--output=json"))
        self.assertEqual(before["value"], after["value"])

    def test_lost_append_answer_applies_change_once(self):
        call(self.deployment.platform.address, "/faults/log", {"mode": "lose-answers"})
        before = json.loads(self.deployment.ctl("settings", "get", "retry.budget_percent", "--output=json"))["tree_revision"]
        self.deployment.ctl("settings", "set", "retry.budget_percent", "11")
        call(self.deployment.platform.address, "/faults/log", {"mode": "none"})
        self.deployment.await_state(lambda state: state["settings_revision"] == before + 1, AWAIT_TIMEOUT_S)

    def test_worker_that_always_fails_is_ejected(self):
        instance = "sorting-kz-a-1"
        call(self.deployment.upstream.address, "/faults/failing", {"instance": instance, "failing": True})
        self.addCleanup(call, self.deployment.upstream.address, "/faults/failing", {"instance": instance, "failing": False})
        figures = self.check_load(self.start_load(4))
        self.assertGreater(figures["counter_in_time"], 0.99, figures)

    def test_state_dump_on_signal_and_mangoctl_output(self):
        process = self.deployment.processes["gate-kz-a-2"]
        process.signal(signal.SIGUSR1)
        path = os.path.join(self.deployment.folder, "gate-kz-a-2.log")
        await_value(lambda: '"role":"gate"' in open(path, encoding="utf-8").read())
        self.assertIn("Everything is all right", self.deployment.ctl("status"))
        self.assertIn("would append", self.deployment.ctl("--dry_run", "settings", "set", "retry.budget_percent", "9"))
        self.assertIn("unknown key", self._failed_command_output("settings", "set", "retry.budget", "9"))

    def _failed_command_output(self, *command):
        argv = [os.path.join(BINARIES, "mangoctl"), f"--keepers={self.deployment.entries[0]['keeper']}", f"--token={OPERATOR_TOKEN}", *command]
        completed = subprocess.run(argv, capture_output=True, text=True, check=False, timeout=30)
        self.assertNotEqual(completed.returncode, 0)
        return completed.stderr


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--binaries", required=True)
    arguments, rest = parser.parse_known_args()
    BINARIES = arguments.binaries
    unittest.main(argv=[sys.argv[0], *rest], verbosity=2)
