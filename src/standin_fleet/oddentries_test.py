#!/usr/bin/env python3
"""Runs a scheduler process beside another writer of its streams: the process stays up, work goes on, and the log names each odd entry.

  oddentries_test.py --binaries build/bin
"""
import argparse
import base64
import http.client
import json
import os
import subprocess
import sys
import tempfile
import threading
import time

from callers import loopback_address
from fleet import Executor, Store

PARTITION_COUNT = 4
SERVICE = "desk"
FRONT_PORT, READY_PORT, METRICS_PORT = 8001, 8002, 8003
BOUNDS = {"max_hold_ms": 6000, "stop_ms": 200, "grace_s": 4, "status_s": 120, "lease_ms": 3000}
START_TIMEOUT_S = 8.0
JOB_TIMEOUT_S = 6.0
# Deep enough to overflow a stack of 8 MiB, and within the store's limit for records.
NESTING_DEPTH = 120_000
CBOR_ARRAY_OF_ONE = b"\x81"
# The owner's key of an executor is longer than its id, and the store limits keys to 255 bytes.
LONG_ID = b"i-" + b"0" * 250


class RecordingStore(Store):
    """A store whose keys may hold any bytes, as other writers choose them."""

    def append_raw(self, topic, part, key, value):
        with self.log_changed:
            self.logs.setdefault((topic, part), []).append(bytes([len(key)]) + key + value)
            self.log_changed.notify_all()

    def newest(self, query, _body):
        with self.log_changed:
            log = self.logs.get((query["topic"], int(query["part"])), [])
            latest = {record[1:1 + record[0]]: (record[1 + record[0]:], offset) for offset, record in enumerate(log)}
            items = [{"key": key.decode(errors="surrogateescape"), "value": base64.b64encode(value).decode(), "offset": offset}
                     for key, (value, offset) in sorted(latest.items()) if value]
            return 200, {"items": items, "more": False, "end": len(log)}


class NoChecks:
    """What the executors ask of the fault soak's checker; each item is small and ends."""

    def describe(self, _item):
        return {"cpu": 100, "mem_mb": 16}, False

    def __getattr__(self, _name):
        return lambda *_, **__: None


def entry(**changes):
    """Returns the entry of an executor that nobody can reach, with changed fields."""
    fields = {"service": SERVICE, "address": "127.0.0.1:9", "zone": "z", "state": "ready", "born": 1796410340454, "machine": "m-odd", "sequence": 1,
              "capacity": {"cpu": 1000, "mem_mb": 1000}, "labels": ["a", "rack-1"]}
    fields.update(changes)
    return json.dumps(fields).encode()


def odd_entries():
    nested = b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH
    huge = 2**63 - 1
    return {
        b"nested": nested,
        b"nested-field": entry()[:-1] + b',"more":' + nested + b"}",
        b"nested-capacity": entry(capacity=1).replace(b'"capacity": 1', b'"capacity": {"cpu": ' + nested + b"}"),
        b"overflow": entry(born=1).replace(b'"born": 1', b'"born": 1e400'),
        b"born-too-large": entry(born=2**64 - 1),
        b"born-negative": entry(born=-1),
        b"born-largest": entry(born=huge),
        b"cpu-largest": entry(capacity={"cpu": huge, "mem_mb": huge}),
        b"cpu-largest-too": entry(capacity={"cpu": huge, "mem_mb": huge, "gpu": huge}),
        b"cpu-negative": entry(capacity={"cpu": -huge, "mem_mb": 1}),
        b"remaining-too-large": entry(state="draining", remaining_ms=1e308),
        b"port-zero": entry(address="127.0.0.1:0"),
        b"port-too-large": entry(address="127.0.0.1:65536"),
        b"port-overflow": entry(address="127.0.0.1:99999999999999999999"),
        b"port-negative": entry(address="127.0.0.1:-1"),
        b"host-name": entry(address="localhost:80"),
        b"host-long": entry(address="9" * 200_000 + ":80"),
        b"host-with-header": entry(address="fe80::1%1\r\nX-Odd: 1:80"),
        b"state-unknown": entry(state="asleep"),
        b"machine-number": entry(machine=7),
        b"labels-number": entry(labels=7),
        b"bytes": b"\xff\xfe\x00\x80",
        b"\xff\xfeid": entry(),
        b"line\r\nX-Odd: 1": entry(),
        LONG_ID: entry(),
    }


class Scheduler:
    """The process, its log and a caller."""

    def __init__(self, binaries, store, directory):
        self.host = loopback_address(0)
        self.log_path = os.path.join(directory, "log")
        settings = os.path.join(directory, "settings.json")
        with open(settings, "w") as file:
            json.dump({"node": "front-0", "zone": "z", "ip": self.host,
                       "listen": {"front": "%s:%d" % (self.host, FRONT_PORT), "ready": "%s:%d" % (self.host, READY_PORT)},
                       "port_range": [METRICS_PORT, METRICS_PORT], "limits": {"cpu_share": 0.5, "cores": 1}, "bounds": BOUNDS,
                       "platform": {"address": store.address, "parts": PARTITION_COUNT, "min_ttl_ms": 1000}}, file)
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen([os.path.join(binaries, "mangocourse-scheduler")], env=dict(os.environ, MANGOCOURSE_NODE_FILE=settings),
                                      stdout=self.log, stderr=self.log)

    def request(self, method, path, body=None, port=FRONT_PORT):
        """Returns status and body, or (0, {}) if there is no answer."""
        try:
            connection = http.client.HTTPConnection(self.host, port, timeout=3)
            connection.request(method, path, body, {"Host": "odd", "X-Deadline-Ms": "3000"})
            answer = connection.getresponse()
            return answer.status, json.loads(answer.read() or b"{}")
        except OSError:
            return 0, {}

    def events(self, name):
        self.log.flush()
        with open(self.log_path, "rb") as file:
            lines = [json.loads(line) for line in file if line.startswith(b"{")]
        return [line for line in lines if line["event"] == name]

    def close(self):
        if self.child.poll() is None:
            self.child.kill()
        self.child.wait()
        self.log.close()


def wait_until(condition, timeout_s):
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        if condition():
            return True
        time.sleep(0.05)
    return condition()


class Check:
    """Collects what was not as expected."""

    def __init__(self):
        self.failures = []

    def expect(self, holds, what):
        print(("ok      " if holds else "FAILED  ") + what, flush=True)
        if not holds:
            self.failures.append(what)


def run_jobs(check, scheduler, first_id, when):
    ids = ["%016x" % (first_id + number) for number in range(4)]
    body = json.dumps({"spec": "work", "steps": [{"count": 3, "cpu": 100, "mem_mb": 16, "estimate_ms": 300}]})
    for job in ids:
        wait_until(lambda job=job: scheduler.request("POST", "/counter/" + job, body)[0] == 200 or scheduler.child.poll() is not None, START_TIMEOUT_S)
    deadline = time.monotonic() + JOB_TIMEOUT_S
    states = []
    while time.monotonic() < deadline and scheduler.child.poll() is None:
        states = [scheduler.request("GET", "/counter/" + job)[1].get("state") for job in ids]
        if all(state == "completed" for state in states):
            break
        time.sleep(0.1)
    check.expect(bool(states) and all(state == "completed" for state in states), "jobs %s are completed (%s)" % (when, states))
    check.expect(scheduler.child.poll() is None, "the process is up %s (exit code %s)" % (when, scheduler.child.poll()))


def check_lines(check, scheduler, entries):
    named = [line["executor"].encode("latin-1") for line in scheduler.events("executor_unreadable")]
    for key in entries:
        check.expect(named.count(key) == 1, "one line names %r (%d lines)" % (key[:24], named.count(key)))


def write_odd_entries(store):
    for key, value in odd_entries().items():
        store.append_raw("keyed.servers", 0, key, value)


def write_odd_records(store):
    nested = CBOR_ARRAY_OF_ONE * NESTING_DEPTH
    for part in range(PARTITION_COUNT):
        store.append_raw("keyed.jobs", part, b"00000000000000f%d" % part, nested)
        store.append_raw("keyed.progress", part, b"00000000000000f%d" % part, nested)
    for part in range(2):
        store.append_raw("keyed.plan", part, b"planner", nested)
        store.append_raw("keyed.plan", part, SERVICE.encode(), nested)
    store.append_raw("keyed.op", 0, b"wave/1", b'{"machines":[],"wave":' + b"[" * NESTING_DEPTH + b"]" * NESTING_DEPTH + b"}")
    store.append_raw("keyed.op", 0, b"wave/2", b'{"machines":[],"wave":2,"duration_s":1e308}')


def send_odd_requests(check, scheduler):
    nested = "[" * 900_000 + "]" * 900_000
    step = '{"spec":"work","steps":[{"count":1%s}]%s}'
    bodies = {"body": nested, "cpu": step % (',"cpu":9223372036854775807', ""), "estimate_ms": step % (',"estimate_ms":1e308', ""),
              "first_run_ms": step % ("", ',"repeat_count":2,"first_run_ms":9e18'), "interval_ms": step % ("", ',"repeat_count":2,"interval_ms":1e18'),
              "depends_on": step % (',"depends_on":[4294967296]', ""), "target_ms": step % (',"target_ms":-1', "")}
    for number, (field, body) in enumerate(bodies.items()):
        status, answer = scheduler.request("POST", "/counter/%016x" % (0xe000 + number), body)
        check.expect(status == 400 and field in answer.get("reason", ""), "a submission with an odd %s is refused (%s %s)" % (field, status, answer))


def send_oversized_request(check, scheduler):
    """Sends a submission that is too large for a record together with others."""
    answers = {}

    def submit(job, body):
        answers[job] = scheduler.request("POST", "/counter/%016x" % job, json.dumps(body))[0]

    small = {"spec": "work", "steps": [{"count": 1, "cpu": 100, "mem_mb": 16}]}
    threads = [threading.Thread(target=submit, args=(0xf000, dict(small, spec="w" * 300_000)))]
    threads += [threading.Thread(target=submit, args=(0xf001 + number, small)) for number in range(6)]
    for thread in threads:
        thread.start()
        time.sleep(0.02)
    for thread in threads:
        thread.join()
    check.expect(answers.pop(0xf000) == 400, "a submission that is too large is refused")
    check.expect(all(status == 200 for status in answers.values()), "those sent with it are accepted (%s)" % sorted(answers.values()))


def run(arguments, directory):
    check = Check()
    store = RecordingStore(PARTITION_COUNT, NoChecks())
    store.append_record("keyed.op", "config", {
        "version": 1, "services": [{"name": SERVICE, "rejects_overload": True, "max_conns": 64}],
        "routes": [{"name": "counter", "host": "odd", "path_prefix": "/counter/", "service": SERVICE, "max_attempts": 50, "slack_factor": 2,
                    "target_latency_ms": 600}]})
    for number in range(2):
        Executor("e%d" % number, SERVICE, store, NoChecks())
    if arguments.stage != "records":
        write_odd_entries(store)
    scheduler = Scheduler(arguments.binaries, store, directory)
    try:
        run_jobs(check, scheduler, 0xa000, "beside odd executors")
        if arguments.stage != "records":
            # Written again with the same bytes, as an executor does with each report.
            write_odd_entries(store)
        if arguments.stage != "executors":
            write_odd_records(store)
        run_jobs(check, scheduler, 0xb000, "after odd records")
        send_odd_requests(check, scheduler)
        send_oversized_request(check, scheduler)
        run_jobs(check, scheduler, 0xc000, "after odd requests")
        if arguments.stage != "records":
            check_lines(check, scheduler, odd_entries())
    finally:
        scheduler.close()
    # A process that starts later reads the same records.
    successor = Scheduler(arguments.binaries, store, directory)
    try:
        run_jobs(check, successor, 0xd000, "of a process that starts among odd records")
    finally:
        successor.close()
    return check.failures


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binaries", required=True)
    parser.add_argument("--stage", choices=["all", "executors", "records"], default="all", help="which of the streams the other writer writes to")
    arguments = parser.parse_args()
    with tempfile.TemporaryDirectory() as directory:
        failures = run(arguments, directory)
        if failures:
            with open(os.path.join(directory, "log")) as file:
                sys.stdout.write("".join(line[:300].rstrip("\n") + "\n" for line in file.readlines()[-40:]))
    print("%d failed" % len(failures))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
