#!/usr/bin/env python3
"""Fault soak: runs real scheduler processes under injected faults and checks their guarantees from what callers and executors observe.

  faultsoak.py --binaries build/bin --seed 7 --seconds 20        one seed
  faultsoak.py --binaries build/bin --seeds 1-50 --logs /tmp/x   several in sequence; keeps the logs of failed seeds
"""
import argparse
import http.client
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time

from fleet import Executor, Store

PARTITION_COUNT = 4
SERVICE_BY_PREFIX = {"/counter/": "desk", "/shop/": "shop"}
BOUNDS = {"max_hold_ms": 6000, "stop_ms": 200, "grace_s": 4, "status_s": 120, "lease_ms": 3000}
MAX_ATTEMPTS = 3
FRONT_PORT, READY_PORT, METRICS_PORT = 8001, 8002, 8003
# Work of a cancelled job may start up to this long after the confirmation: the documented bound plus the longest outage plus a takeover.
MAX_START_AFTER_CANCEL_S = 14.0
# Time for accepted jobs to reach a final state after the last fault.
SETTLE_TIMEOUT_S = 30.0


class InvariantChecker:
    """Records the runs that executors start and end and the answers that callers get, and reports violated guarantees."""

    def __init__(self):
        self.lock = threading.Lock()
        self.violations = []
        self.running = {}
        self.completed = set()
        self.failures = {}
        self.jobs = {}

    def report_violation(self, what):
        self.violations.append("%.2f s: %s" % (time.monotonic() - START_TIME, what))

    def run_started(self, item, executor, run):
        with self.lock:
            active_runs = self.running.setdefault(item, {})
            if active_runs:
                self.report_violation("TWICE: %s run %d starts on %s while it runs on %s" % (item, run, executor, list(active_runs)))
            if item in self.completed:
                self.report_violation("TWICE: %s run %d starts on %s after its end was acknowledged" % (item, run, executor))
            if self.failures.get(item, 0) >= MAX_ATTEMPTS:
                self.report_violation("BUDGET: %s starts after %d failures" % (item, MAX_ATTEMPTS))
            active_runs[executor] = run
            job = self.jobs.setdefault(item.split(".")[0], {})
            job["started"] = True
            if "submitted" not in job:
                self.report_violation("UNASKED: %s was never submitted" % item)
            if time.monotonic() - job.get("cancelled", time.monotonic()) > MAX_START_AFTER_CANCEL_S:
                self.report_violation("UNASKED: %s starts long after its job was cancelled" % item)

    def run_ended(self, item, executor, _run, _outcome):
        with self.lock:
            self.running.get(item, {}).pop(executor, None)

    def end_acknowledged(self, item, _run, outcome):
        with self.lock:
            if outcome == "done":
                self.completed.add(item)
            elif outcome == "failed":
                self.failures[item] = self.failures.get(item, 0) + 1

    def clear_executor(self, executor):
        with self.lock:
            for active_runs in self.running.values():
                active_runs.pop(executor, None)


class Proxy:
    """A loopback TCP proxy. Modes: "pass", "slow" (150 ms per chunk), "silent" (nothing passes) and "one-way" (answers don't pass).

    reset() closes all its connections with RST.
    """

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.open_sockets = set()
        threading.Thread(target=self.accept_loop, daemon=True).start()

    def accept_loop(self):
        while True:
            client, _ = self.listener.accept()
            try:
                server = socket.create_connection(self.target, 2)
            except OSError:
                client.close()
                continue
            self.open_sockets |= {client, server}
            threading.Thread(target=self.forward, args=(client, server, False), daemon=True).start()
            threading.Thread(target=self.forward, args=(server, client, True), daemon=True).start()

    def forward(self, source, sink, is_answer):
        try:
            while data := source.recv(65536):
                while self.mode == "silent" or (self.mode == "one-way" and is_answer):
                    time.sleep(0.02)
                if self.mode == "slow":
                    time.sleep(0.15)
                sink.sendall(data)
        except OSError:
            # A fault reset the connection or the peer is gone; both sockets are shut down below.
            pass
        for endpoint in (source, sink):
            self.open_sockets.discard(endpoint)
            try:
                endpoint.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The socket is already closed.
                pass

    def reset(self):
        for endpoint in list(self.open_sockets):
            try:
                endpoint.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                endpoint.close()
            except OSError:
                # The forwarding thread has closed the socket.
                pass


class Process:
    """A scheduler process with its own proxy to the store; restart_if_exited() starts it again after it exits."""

    def __init__(self, number, arguments, store, directory):
        self.name = "front-%d" % number
        self.proxy = Proxy(store.address)
        # Uses its own loopback address with fixed ports: a free port chosen on 127.0.0.1 may be taken by an outgoing connection before it is used.
        self.host = loopback_address(number)
        self.program = os.path.join(arguments.binaries, "mangocourse-scheduler")
        self.settings = os.path.join(directory, self.name + ".json")
        self.log = open(os.path.join(directory, self.name + ".log"), "ab")
        share = 0.5 if number < 4 else 0.12
        with open(self.settings, "w") as file:
            json.dump({"node": self.name, "zone": "z", "ip": self.host,
                       "listen": {"front": "%s:%d" % (self.host, FRONT_PORT), "ready": "%s:%d" % (self.host, READY_PORT)},
                       "port_range": [METRICS_PORT, METRICS_PORT], "limits": {"cpu_share": share, "cores": 1}, "bounds": BOUNDS,
                       "platform": {"address": self.proxy.address, "parts": PARTITION_COUNT, "min_ttl_ms": 1000}}, file)
        self.unexpected_exits = []
        self.start()

    def start(self):
        self.exit_expected = False
        self.child = subprocess.Popen([self.program], env=dict(os.environ, MANGOCOURSE_NODE_FILE=self.settings), stdout=self.log, stderr=self.log)

    def send_signal(self, number):
        self.exit_expected = self.exit_expected or number in (signal.SIGTERM, signal.SIGKILL)
        if self.child.poll() is None:
            self.child.send_signal(number)

    def restart_if_exited(self):
        """Restarts the process if it has exited; records the exit code if no fault caused the exit."""
        code = self.child.poll()
        if code is None:
            return
        if not self.exit_expected:
            self.unexpected_exits.append(code)
        self.start()

    def close(self):
        self.exit_expected = True
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()
        self.log.close()


def loopback_address(number):
    """Returns a loopback address derived from the process id, so that concurrent soaks on one machine don't collide."""
    return "127.%d.%d.%d" % (20 + (os.getpid() >> 8) % 200, os.getpid() % 256, 1 + number)


class Caller(threading.Thread):
    """Submits jobs, queries their states and cancels some, over keep-alive connections."""

    def __init__(self, number, seed, processes, checker, stop):
        super().__init__(daemon=True)
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.processes = processes
        self.checker = checker
        self.stop = stop
        self.connections = {}

    def call(self, method, path, body=None, timeout_s=2.0):
        """Sends a request to a random process; returns the status and the body, or None if no answer arrived."""
        process = self.random.choice(self.processes)
        connection = self.connections.pop(process.host, None) or http.client.HTTPConnection(process.host, FRONT_PORT, timeout=timeout_s)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json", "X-Deadline-Ms": str(int(timeout_s * 1000)), "Host": "soak"})
            response = connection.getresponse()
            content = response.read()
            self.connections[process.host] = connection
            return response.status, content
        except (OSError, http.client.HTTPException):
            # The process was killed, is paused or has not started yet; the next attempt picks a process at random.
            connection.close()
            return None

    def run(self):
        count = 0
        while not self.stop.is_set():
            count += 1
            prefix = self.random.choice(list(SERVICE_BY_PREFIX))
            job = "%06x%010x" % (self.number, count)
            step = {"count": self.random.randint(1, 4), "cpu": 2000, "mem_mb": 100, "estimate_ms": 500}
            steps = [step] if self.random.random() < 0.6 else [step, dict(step, depends_on=[0])]
            self.submit(prefix, job, json.dumps({"spec": "work", "steps": steps}))
            time.sleep(self.random.uniform(0.05, 0.4))
            if self.random.random() < 0.1:
                self.cancel(prefix, job)

    def submit(self, prefix, job, body):
        with self.checker.lock:
            record = self.checker.jobs.setdefault(job, {})
            record.update(submitted=True, prefix=prefix)
        answers = []
        for _ in range(4):
            answer = self.call("POST", prefix + job, body)
            answers.append(answer and answer[0])
            if answer and answer[0] == 200:
                record["accepted"] = True
                return
            time.sleep(self.random.uniform(0.05, 0.5))
        record["rejected"] = all(answer in (429, 503) for answer in answers)

    def cancel(self, prefix, job):
        answer = self.call("DELETE", prefix + job)
        if answer and answer[0] == 200:
            with self.checker.lock:
                self.checker.jobs[job]["cancelled"] = time.monotonic()
        else:
            # Without a 200 the cancellation may or may not have been recorded.
            self.checker.jobs[job]["unsure"] = True


class Soak:
    def __init__(self, arguments, seed, directory):
        self.random = random.Random(seed)
        random.seed(seed)
        self.checker = InvariantChecker()
        self.store = Store(PARTITION_COUNT)
        self.publish_configuration()
        self.executors = []
        self.executor_proxies = []
        for number in range(arguments.executors):
            executor = Executor("e%d" % number, "desk" if number % 2 else "shop", self.store, self.checker)
            executor_proxy = Proxy(executor.address)
            executor.advertised_address = executor_proxy.address
            self.executors.append(executor)
            self.executor_proxies.append(executor_proxy)
        self.processes = [Process(number, arguments, self.store, directory) for number in range(arguments.processes)]
        self.seconds = arguments.seconds
        self.stop = threading.Event()
        self.faults = []

    def publish_configuration(self):
        routes = [{"name": "r" + prefix.strip("/"), "host": "soak", "path_prefix": prefix, "service": service, "max_attempts": MAX_ATTEMPTS, "slack_factor": 2,
                   "target_latency_ms": 600} for prefix, service in SERVICE_BY_PREFIX.items()]
        services = [{"name": service, "rejects_overload": True, "max_conns": 64} for service in SERVICE_BY_PREFIX.values()]
        self.store.append_record("keyed.op", "config", {"version": 1, "routes": routes, "services": services})

    def inject_fault(self):
        """Injects a random fault and returns its description and a function that ends it. Faults may overlap."""
        process = self.random.choice(self.processes)
        number = self.random.randrange(len(self.executors))
        executor, executor_proxy = self.executors[number], self.executor_proxies[number]

        def set_mode(proxy, value):
            proxy.mode = value

        def set_store_fault(value):
            self.store.fault_mode = value

        def resume_process():
            process.send_signal(signal.SIGCONT)

        def no_recovery():
            pass

        kinds = {
            "kill": lambda: (process.send_signal(signal.SIGKILL), no_recovery)[1],
            "stop": lambda: (process.send_signal(signal.SIGTERM), no_recovery)[1],
            "reload": lambda: (process.send_signal(signal.SIGHUP), no_recovery)[1],
            "pause": lambda: (process.send_signal(signal.SIGSTOP), resume_process)[1],
            "store cut off from one": lambda: (set_mode(process.proxy, self.random.choice(["silent", "one-way", "slow"])),
                                                lambda: set_mode(process.proxy, "pass"))[1],
            "store connections reset": lambda: (process.proxy.reset(), no_recovery)[1],
            "store refuses": lambda: (set_store_fault("refuse"), lambda: set_store_fault("none"))[1],
            "store loses answers": lambda: (set_store_fault("lose-answers"), lambda: set_store_fault("none"))[1],
            "executor cut off": lambda: (set_mode(executor_proxy, self.random.choice(["silent", "one-way", "slow"])),
                                        lambda: set_mode(executor_proxy, "pass"))[1],
            "executor connections reset": lambda: (executor_proxy.reset(), no_recovery)[1],
            "executor crashes": lambda: (executor.crash(), executor.restart)[1],
            "all killed": lambda: ([target.send_signal(signal.SIGKILL) for target in self.processes], no_recovery)[1],
        }
        weights = [1 if kind == "all killed" else 4 for kind in kinds]
        name = self.random.choices(list(kinds), weights)[0]
        return "%s (%s, %s)" % (name, process.name, executor.name), kinds[name]()

    def inject_faults(self):
        """Injects faults at random intervals for the configured time, then ends those that are still active."""
        recoveries = []
        until = time.monotonic() + self.seconds
        next_fault_at = time.monotonic() + 4.0
        while time.monotonic() < until:
            for process in self.processes:
                process.restart_if_exited()
            if time.monotonic() > next_fault_at:
                name, recover = self.inject_fault()
                self.faults.append("%.2f s: %s" % (time.monotonic() - START_TIME, name))
                recoveries.append((time.monotonic() + self.random.uniform(0.3, 5.0), recover))
                next_fault_at = time.monotonic() + self.random.uniform(0.2, 2.5)
            for entry in [entry for entry in recoveries if entry[0] < time.monotonic()]:
                entry[1]()
                recoveries.remove(entry)
            time.sleep(0.05)
        for _, recover in recoveries:
            recover()

    def run(self):
        callers = [Caller(number, self.random.randrange(10 ** 6), self.processes, self.checker, self.stop) for number in range(4)]
        time.sleep(2.0)
        for caller in callers:
            caller.start()
        self.inject_faults()
        self.stop.set()
        for caller in callers:
            caller.join(12)
        self.check_jobs()
        for process in self.processes:
            if process.unexpected_exits:
                self.checker.report_violation("CRASH: %s ended by itself with %s" % (process.name, process.unexpected_exits))

    def check_jobs(self):
        """Polls accepted jobs until all are final or SETTLE_TIMEOUT_S is over; reports lost jobs and refused ones that ran."""
        caller = Caller(99, 1, self.processes, self.checker, self.stop)
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        unfinished = {job: record for job, record in self.checker.jobs.items() if record.get("accepted")}
        states = {}
        while unfinished and time.monotonic() < deadline:
            for process in self.processes:
                process.restart_if_exited()
            for job, record in list(unfinished.items()):
                answer = caller.call("GET", record["prefix"] + job)
                states[job] = answer and (answer[0], json.loads(answer[1] or b"{}").get("state"))
                if answer and answer[0] == 200 and states[job][1] in ("completed", "failed", "cancelled"):
                    self.check_final_state(job, record, states[job][1])
                    del unfinished[job]
            time.sleep(0.2)
        for job in unfinished:
            self.checker.report_violation("LOST: %s was accepted and is %s at the end" % (job, states.get(job)))
        for job, record in self.checker.jobs.items():
            if record.get("rejected") and record.get("started"):
                self.checker.report_violation("REFUSED: %s was refused each time, and it ran" % job)

    def check_final_state(self, job, record, state):
        if state == "cancelled" and "cancelled" not in record and not record.get("unsure"):
            self.checker.report_violation("LOST: %s is shown as cancelled and nobody cancelled it" % job)
        if state == "failed" and not any(item.startswith(job) and count >= MAX_ATTEMPTS for item, count in self.checker.failures.items()):
            self.checker.report_violation("LOST: %s is shown as failed without its attempts" % job)

    def close(self):
        for process in self.processes:
            process.close()


def run_seed(arguments, seed):
    """Runs the soak with one seed and returns the violations."""
    global START_TIME
    START_TIME = time.monotonic()
    directory = tempfile.mkdtemp(prefix="faultsoak-%d-" % seed)
    soak = Soak(arguments, seed, directory)
    try:
        soak.run()
    finally:
        soak.close()
    checker = soak.checker
    accepted = sum(1 for record in checker.jobs.values() if record.get("accepted"))
    if accepted < arguments.seconds:
        checker.report_violation("IDLE: only %d jobs were accepted" % accepted)
    print("seed %d: %d jobs accepted, %d items done, %d faults, %d promises broken"
          % (seed, accepted, len(checker.completed), len(soak.faults), len(checker.violations)), flush=True)
    for line in checker.violations[:10]:
        print("  " + line, flush=True)
    if checker.violations:
        for line in soak.faults:
            print("  fault at " + line, flush=True)
    if checker.violations and arguments.logs:
        shutil.copytree(directory, os.path.join(arguments.logs, "seed-%d" % seed), dirs_exist_ok=True)
    shutil.rmtree(directory)
    return checker.violations


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binaries", required=True, help="directory of the mangocourse-scheduler program")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="range of seeds such as 1-50; overrides --seed")
    parser.add_argument("--seconds", type=float, default=20, help="duration of the fault injection, in seconds")
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--executors", type=int, default=8)
    parser.add_argument("--logs", help="directory for the logs of failed seeds")
    arguments = parser.parse_args()
    first, last = (int(part) for part in arguments.seeds.split("-")) if arguments.seeds else (arguments.seed, arguments.seed)
    failed = [seed for seed in range(first, last + 1) if run_seed(arguments, seed)]
    print("%d seeds, %d failed%s" % (last - first + 1, len(failed), ": " + ", ".join(map(str, failed)) if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
