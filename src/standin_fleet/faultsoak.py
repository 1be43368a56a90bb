#!/usr/bin/env python3
"""Fault soak: real scheduler processes, faults from outside, promises judged from what callers and executors see.

  faultsoak.py --binaries build/bin --seed 7 --seconds 20        one seed
  faultsoak.py --binaries build/bin --seeds 1-50 --logs /tmp/x   many, one after the other; logs of failed seeds are kept
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

PARTS = 4
QUEUES = {"/counter/": "desk", "/shop/": "shop"}
BOUNDS = {"max_hold_ms": 6000, "stop_ms": 200, "grace_s": 4, "status_s": 120, "lease_ms": 3000}
ATTEMPTS = 3
FRONT_PORT, READY_PORT, METRICS_PORT = 8001, 8002, 8003
# A cancelled job's work may start this long after the confirmation: the bound of the users' pages, the longest outage and a takeover.
CANCEL_S = 14.0
# Once the faults are over, accepted work has this long to finish.
SETTLE_S = 30.0


class Judge:
    """Knows what executors began and ended and what callers were told, and which of it breaks a promise."""

    def __init__(self):
        self.lock = threading.Lock()
        self.broken = []
        self.running = {}
        self.done = set()
        self.failures = {}
        self.jobs = {}

    def note(self, what):
        self.broken.append("%.2f s: %s" % (time.monotonic() - START, what))

    def started(self, item, executor, run):
        with self.lock:
            others = self.running.setdefault(item, {})
            if others:
                self.note("TWICE: %s run %d starts on %s while it runs on %s" % (item, run, executor, list(others)))
            if item in self.done:
                self.note("TWICE: %s run %d starts on %s after its end was acknowledged" % (item, run, executor))
            if self.failures.get(item, 0) >= ATTEMPTS:
                self.note("BUDGET: %s starts after %d failures" % (item, ATTEMPTS))
            others[executor] = run
            job = self.jobs.setdefault(item.split(".")[0], {})
            job["started"] = True
            if "submitted" not in job:
                self.note("UNASKED: %s was never submitted" % item)
            if time.monotonic() - job.get("cancelled", time.monotonic()) > CANCEL_S:
                self.note("UNASKED: %s starts long after its job was cancelled" % item)

    def ended(self, item, executor, _run, _how):
        with self.lock:
            self.running.get(item, {}).pop(executor, None)

    def acknowledged(self, item, _run, how):
        with self.lock:
            if how == "done":
                self.done.add(item)
            elif how == "failed":
                self.failures[item] = self.failures.get(item, 0) + 1

    def life_over(self, executor):
        with self.lock:
            for others in self.running.values():
                others.pop(executor, None)


class Proxy:
    """A loopback proxy: "pass", "slow", "silent" (nothing gets through), "one-way" (answers are lost) or "reset"."""

    def __init__(self, target):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.mode = "pass"
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % self.listener.getsockname()[1]
        self.open = set()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            near, _ = self.listener.accept()
            try:
                far = socket.create_connection(self.target, 2)
            except OSError:
                near.close()
                continue
            self.open |= {near, far}
            threading.Thread(target=self.pump, args=(near, far, False), daemon=True).start()
            threading.Thread(target=self.pump, args=(far, near, True), daemon=True).start()

    def pump(self, source, sink, is_answer):
        try:
            while data := source.recv(65536):
                while self.mode == "silent" or (self.mode == "one-way" and is_answer):
                    time.sleep(0.02)
                if self.mode == "slow":
                    time.sleep(0.15)
                sink.sendall(data)
        except OSError:
            # Reset by a fault, or the peer is gone: both ends close below.
            pass
        for end in (source, sink):
            self.open.discard(end)
            try:
                end.shutdown(socket.SHUT_RDWR)
            except OSError:
                # Closed already.
                pass

    def reset(self):
        for end in list(self.open):
            try:
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
                end.close()
            except OSError:
                # Closed meanwhile.
                pass


class Process:
    """One scheduler process behind a proxy of its own to the store; started again whenever it ends."""

    def __init__(self, number, arguments, store, folder):
        self.name = "front-%d" % number
        self.proxy = Proxy(store.address)
        # An address of its own: between the choice of a free port of 127.0.0.1 and its use an outgoing connection may take the port.
        self.host = own_address(number)
        self.program = os.path.join(arguments.binaries, "mangocourse-scheduler")
        self.settings = os.path.join(folder, self.name + ".json")
        self.log = open(os.path.join(folder, self.name + ".log"), "ab")
        share = 0.5 if number < 4 else 0.12
        with open(self.settings, "w") as file:
            json.dump({"node": self.name, "zone": "z", "ip": self.host,
                       "listen": {"front": "%s:%d" % (self.host, FRONT_PORT), "ready": "%s:%d" % (self.host, READY_PORT)},
                       "port_range": [METRICS_PORT, METRICS_PORT], "limits": {"cpu_share": share, "cores": 1}, "bounds": BOUNDS,
                       "platform": {"address": self.proxy.address, "parts": PARTS, "min_ttl_ms": 1000}}, file)
        self.exits = []
        self.start()

    def start(self):
        self.stopping = False
        self.child = subprocess.Popen([self.program], env=dict(os.environ, MANGOCOURSE_NODE_FILE=self.settings), stdout=self.log, stderr=self.log)

    def send(self, number):
        self.stopping = self.stopping or number in (signal.SIGTERM, signal.SIGKILL)
        if self.child.poll() is None:
            self.child.send_signal(number)

    def tend(self):
        """Starts the process again where it has ended, and notes an end that nobody asked for."""
        code = self.child.poll()
        if code is None:
            return
        if not self.stopping:
            self.exits.append(code)
        self.start()

    def end(self):
        self.stopping = True
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()
        self.log.close()


def own_address(number):
    """Returns a loopback address that no other soak on this machine uses: the process id tells them apart."""
    return "127.%d.%d.%d" % (20 + (os.getpid() >> 8) % 200, os.getpid() % 256, 1 + number)


class Caller(threading.Thread):
    """Submits jobs, asks for their states and cancels some, over connections that it keeps until they are closed."""

    def __init__(self, number, seed, processes, judge, stop):
        super().__init__(daemon=True)
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.processes = processes
        self.judge = judge
        self.stop = stop
        self.connections = {}

    def call(self, method, path, body=None, limit=2.0):
        """Returns the status and the body; None where the answer was lost."""
        process = self.random.choice(self.processes)
        connection = self.connections.pop(process.host, None) or http.client.HTTPConnection(process.host, FRONT_PORT, timeout=limit)
        try:
            connection.request(method, path, body, {"Content-Type": "application/json", "X-Deadline-Ms": str(int(limit * 1000)), "Host": "soak"})
            response = connection.getresponse()
            content = response.read()
            self.connections[process.host] = connection
            return response.status, content
        except (OSError, http.client.HTTPException):
            # The process was killed, paused or is not there: the caller tries another.
            connection.close()
            return None

    def run(self):
        count = 0
        while not self.stop.is_set():
            count += 1
            prefix = self.random.choice(list(QUEUES))
            job = "%06x%010x" % (self.number, count)
            step = {"count": self.random.randint(1, 4), "cpu": 2000, "mem_mb": 100, "estimate_ms": 500}
            steps = [step] if self.random.random() < 0.6 else [step, dict(step, depends_on=[0])]
            self.submit(prefix, job, json.dumps({"spec": "work", "steps": steps}))
            time.sleep(self.random.uniform(0.05, 0.4))
            if self.random.random() < 0.1:
                self.cancel(prefix, job)

    def submit(self, prefix, job, body):
        with self.judge.lock:
            record = self.judge.jobs.setdefault(job, {})
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
            with self.judge.lock:
                self.judge.jobs[job]["cancelled"] = time.monotonic()
        else:
            # Nobody can say whether it counts.
            self.judge.jobs[job]["unsure"] = True


class Soak:
    def __init__(self, arguments, seed, folder):
        self.random = random.Random(seed)
        random.seed(seed)
        self.judge = Judge()
        self.store = Store(PARTS)
        self.publish()
        self.executors = []
        self.links = []
        for number in range(arguments.executors):
            executor = Executor("e%d" % number, "desk" if number % 2 else "shop", self.store, self.judge)
            link = Proxy(executor.address)
            executor.told = link.address
            self.executors.append(executor)
            self.links.append(link)
        self.processes = [Process(number, arguments, self.store, folder) for number in range(arguments.processes)]
        self.seconds = arguments.seconds
        self.stop = threading.Event()
        self.faults = []

    def publish(self):
        routes = [{"name": "r" + prefix.strip("/"), "host": "soak", "path_prefix": prefix, "service": service, "max_attempts": ATTEMPTS, "slack_factor": 2,
                   "target_latency_ms": 600} for prefix, service in QUEUES.items()]
        services = [{"name": service, "rejects_overload": True, "max_conns": 64} for service in QUEUES.values()]
        self.store.put("keyed.op", "config", {"version": 1, "routes": routes, "services": services})

    def fault(self):
        """Begins one fault and returns its name and what ends it; faults come in series and overlap."""
        process = self.random.choice(self.processes)
        number = self.random.randrange(len(self.executors))
        executor, link = self.executors[number], self.links[number]

        def mode(of, value):
            of.mode = value

        def mood(value):
            self.store.mood = value

        def go_on():
            process.send(signal.SIGCONT)

        def nothing():
            pass

        kinds = {
            "kill": lambda: (process.send(signal.SIGKILL), nothing)[1],
            "stop": lambda: (process.send(signal.SIGTERM), nothing)[1],
            "reload": lambda: (process.send(signal.SIGHUP), nothing)[1],
            "pause": lambda: (process.send(signal.SIGSTOP), go_on)[1],
            "store cut off from one": lambda: (mode(process.proxy, self.random.choice(["silent", "one-way", "slow"])), lambda: mode(process.proxy, "pass"))[1],
            "store connections reset": lambda: (process.proxy.reset(), nothing)[1],
            "store refuses": lambda: (mood("refusing"), lambda: mood("fine"))[1],
            "store loses answers": lambda: (mood("forgetful"), lambda: mood("fine"))[1],
            "executor cut off": lambda: (mode(link, self.random.choice(["silent", "one-way", "slow"])), lambda: mode(link, "pass"))[1],
            "executor connections reset": lambda: (link.reset(), nothing)[1],
            "executor crashes": lambda: (executor.crash(), executor.start_anew)[1],
            "all killed": lambda: ([one.send(signal.SIGKILL) for one in self.processes], nothing)[1],
        }
        weights = [1 if kind == "all killed" else 4 for kind in kinds]
        name = self.random.choices(list(kinds), weights)[0]
        return "%s (%s, %s)" % (name, process.name, executor.name), kinds[name]()

    def disturb(self):
        """Plays faults until the time is over; what ends a fault runs in any case."""
        ends = []
        until = time.monotonic() + self.seconds
        following = time.monotonic() + 4.0
        while time.monotonic() < until:
            for process in self.processes:
                process.tend()
            if time.monotonic() > following:
                name, end = self.fault()
                self.faults.append("%.2f s: %s" % (time.monotonic() - START, name))
                ends.append((time.monotonic() + self.random.uniform(0.3, 5.0), end))
                following = time.monotonic() + self.random.uniform(0.2, 2.5)
            for entry in [entry for entry in ends if entry[0] < time.monotonic()]:
                entry[1]()
                ends.remove(entry)
            time.sleep(0.05)
        for _, end in ends:
            end()

    def run(self):
        callers = [Caller(number, self.random.randrange(10 ** 6), self.processes, self.judge, self.stop) for number in range(4)]
        time.sleep(2.0)
        for caller in callers:
            caller.start()
        self.disturb()
        self.stop.set()
        for caller in callers:
            caller.join(12)
        self.check_end()
        for process in self.processes:
            if process.exits:
                self.judge.note("CRASH: %s ended by itself with %s" % (process.name, process.exits))

    def check_end(self):
        """Asks for each job until all that were accepted are final, or the time is over."""
        asker = Caller(99, 1, self.processes, self.judge, self.stop)
        deadline = time.monotonic() + SETTLE_S
        waiting = {job: record for job, record in self.judge.jobs.items() if record.get("accepted")}
        states = {}
        while waiting and time.monotonic() < deadline:
            for process in self.processes:
                process.tend()
            for job, record in list(waiting.items()):
                answer = asker.call("GET", record["prefix"] + job)
                states[job] = answer and (answer[0], json.loads(answer[1] or b"{}").get("state"))
                if answer and answer[0] == 200 and states[job][1] in ("completed", "failed", "cancelled"):
                    self.check_state(job, record, states[job][1])
                    del waiting[job]
            time.sleep(0.2)
        for job in waiting:
            self.judge.note("LOST: %s was accepted and is %s at the end" % (job, states.get(job)))
        for job, record in self.judge.jobs.items():
            if record.get("rejected") and record.get("started"):
                self.judge.note("REFUSED: %s was refused each time, and it ran" % job)

    def check_state(self, job, record, state):
        if state == "cancelled" and "cancelled" not in record and not record.get("unsure"):
            self.judge.note("LOST: %s is shown as cancelled and nobody cancelled it" % job)
        if state == "failed" and not any(item.startswith(job) and count >= ATTEMPTS for item, count in self.judge.failures.items()):
            self.judge.note("LOST: %s is shown as failed without its attempts" % job)

    def end(self):
        for process in self.processes:
            process.end()


def play(arguments, seed):
    """Plays one seed; returns the promises that were broken."""
    global START
    START = time.monotonic()
    folder = tempfile.mkdtemp(prefix="faultsoak-%d-" % seed)
    soak = Soak(arguments, seed, folder)
    try:
        soak.run()
    finally:
        soak.end()
    judge = soak.judge
    accepted = sum(1 for record in judge.jobs.values() if record.get("accepted"))
    if accepted < arguments.seconds:
        judge.note("IDLE: only %d jobs were accepted" % accepted)
    print("seed %d: %d jobs accepted, %d items done, %d faults, %d promises broken"
          % (seed, accepted, len(judge.done), len(soak.faults), len(judge.broken)), flush=True)
    for line in judge.broken[:10]:
        print("  " + line, flush=True)
    if judge.broken:
        for line in soak.faults:
            print("  fault at " + line, flush=True)
    if judge.broken and arguments.logs:
        shutil.copytree(folder, os.path.join(arguments.logs, "seed-%d" % seed), dirs_exist_ok=True)
    shutil.rmtree(folder)
    return judge.broken


def main():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--binaries", required=True, help="folder of mangocourse-scheduler")
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", help="a range, as 1-50, in place of one seed")
    parser.add_argument("--seconds", type=float, default=20, help="for how long faults come")
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--executors", type=int, default=8)
    parser.add_argument("--logs", help="folder that keeps the logs of failed seeds")
    arguments = parser.parse_args()
    first, last = (int(part) for part in arguments.seeds.split("-")) if arguments.seeds else (arguments.seed, arguments.seed)
    failed = [seed for seed in range(first, last + 1) if play(arguments, seed)]
    print("%d seeds, %d failed%s" % (last - first + 1, len(failed), ": " + ", ".join(map(str, failed)) if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
