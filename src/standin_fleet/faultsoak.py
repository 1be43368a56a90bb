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

from fleet import CAPACITY, Executor, Store

PARTITION_COUNT = 4
SERVICE_BY_PREFIX = {"/counter/": "desk", "/shop/": "shop"}
BOUNDS = {"max_hold_ms": 6000, "stop_ms": 200, "grace_s": 4, "status_s": 120, "lease_ms": 3000}
MAX_ATTEMPTS = 3
FRONT_PORT, READY_PORT, METRICS_PORT = 8001, 8002, 8003
# Work of a cancelled job may start up to this long after the confirmation: the documented bound plus the longest outage plus a takeover.
MAX_START_AFTER_CANCEL_S = 14.0
# Time for accepted jobs to reach a final state after the last fault.
SETTLE_TIMEOUT_S = 30.0
# Work that could run may wait for this long, in a stretch that has been calm for CALM_S before. A lasting item restarts within LASTING_RESTART_S.
MAX_WAIT_S = 3.0
CALM_S = 4.0
LASTING_RESTART_S = 6.0
LOOK_INTERVAL_S = 0.2
# Lengths of a series of faults and of the pause that follows it; the pause lasts at least JUDGED_PAUSE_S from the end of its last fault.
SERIES_S = (6.0, 12.0)
PAUSE_S = (10.0, 14.0)
JUDGED_PAUSE_S = 10.0
# Longest faults of the two sources.
LONGEST_FAULT_S = 5.0
LONGEST_FURTHER_FAULT_S = 8.0
STOP_SERIES_INTERVAL_S = 0.4
MAX_LASTING_JOBS_PER_CALLER = 2


class InvariantChecker:
    """Records the runs that executors start and end and the answers that callers get, and reports violated guarantees."""

    def __init__(self):
        self.lock = threading.Lock()
        self.violations = []
        self.running = {}
        self.completed = set()
        self.noted = set()
        self.failures = {}
        self.last_ends = {}
        self.jobs = {}

    def report_violation(self, what):
        self.violations.append("%.2f s: %s" % (time.monotonic() - START_TIME, what))

    def run_started(self, item, executor, run):
        with self.lock:
            active_runs = self.running.setdefault(item, {})
            if active_runs:
                self.report_violation("TWICE: %s run %d starts on %s while it runs on %s" % (item, run, executor, list(active_runs)))
            if item in self.noted:
                self.report_violation("TWICE: %s run %d starts on %s after its end was acknowledged" % (item, run, executor))
            if self.failures.get(item, 0) >= MAX_ATTEMPTS and not self.jobs.get(item.split(".")[0], {}).get("is_lasting"):
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
            self.last_ends[item] = time.monotonic()

    def end_acknowledged(self, item, outcome, is_noted):
        """Records an end that an executor may forget; it isn't noted, in the words of the rules, if the lease expired between the end and now."""
        with self.lock:
            if outcome == "done":
                self.completed.add(item)
                if is_noted:
                    self.noted.add(item)
            elif outcome == "failed":
                self.failures[item] = self.failures.get(item, 0) + 1

    def clear_executor(self, executor):
        with self.lock:
            for item, active_runs in self.running.items():
                if active_runs.pop(executor, None) is not None:
                    self.last_ends[item] = time.monotonic()

    def describe(self, item):
        """Returns what an item needs and whether it lasts, as its job was submitted."""
        job, _, step, _ = item.split(".")
        with self.lock:
            steps = self.jobs.get(job, {}).get("steps")
            spec = steps[int(step)] if steps else dict.fromkeys(CAPACITY, 0)
            return {name: spec[name] for name in CAPACITY}, spec.get("long_running", False)

    def find_waiting_items(self, now):
        """Returns the items that have to run by now: (item, step, executors of the step's items). Call it with the lock held.

        The items of a finite job count together: while one of them runs, none is waiting. A lasting item counts by itself.
        """
        waiting = []
        for job, record in self.jobs.items():
            if not record.get("accepted") or record.get("cancel_sent") or record.get("is_over"):
                continue
            steps = [["%s.0.%d.%d" % (job, number, index) for index in range(step["count"])] for number, step in enumerate(record["steps"])]
            if record["is_lasting"]:
                places = [place for item in steps[0] for place in self.running.get(item, {})]
                due = [item for item in steps[0] if not self.running.get(item) and now - self.last_ends.get(item, 0.0) > LASTING_RESTART_S]
                waiting += [(item, record["steps"][0], places) for item in due]
                continue
            undone = [(item, record["steps"][number]) for number, items in enumerate(steps) for item in items if item not in self.completed]
            record["is_over"] = not undone or any(self.failures.get(item, 0) >= MAX_ATTEMPTS for item, _ in undone)
            if not record["is_over"] and not any(self.running.get(item) for items in steps for item in items):
                # All items of the earlier steps are done, so the turn of the first one that isn't has come.
                waiting.append(undone[0] + ([],))
        return waiting


class WaitingWorkCheck(threading.Thread):
    """Looks a few times a second, and reports work that could run in a calm stretch and doesn't.

    It could run if for MAX_WAIT_S there is room for it twice over that nothing else uses meanwhile, or, as the users' rules have it, at each look any such
    room while less than half of the service's capacity is in use.
    """

    def __init__(self, soak):
        super().__init__(daemon=True)
        self.soak = soak
        self.waiting_since = {}
        # For each service, the looks of the last MAX_WAIT_S: (time, free capacity of each sound executor).
        self.looks = {service: [] for service in SERVICE_BY_PREFIX.values()}
        self.reported = set()
        self.judged_s = 0.0
        self.longest_wait_s = 0.0
        self.is_stopped = threading.Event()

    def run(self):
        previous_look_at = time.monotonic()
        while not self.is_stopped.wait(LOOK_INTERVAL_S):
            now = time.monotonic()
            calm_s = self.soak.measure_calm(now)
            if calm_s < CALM_S:
                self.waiting_since.clear()
                self.looks = {service: [] for service in self.looks}
            else:
                self.judged_s += now - previous_look_at if calm_s > CALM_S + MAX_WAIT_S else 0.0
                self.look(now)
            previous_look_at = now

    @staticmethod
    def count_places(room, step, taken):
        """Returns how many items of the step fit into the room beside what runs there."""
        places = 0
        for executor, free in room.items():
            fitting = min(free[name] // step[name] for name in CAPACITY)
            allowed = step.get("anti_affinity", fitting + taken.count(executor)) - taken.count(executor)
            places += max(0, min(fitting, allowed))
        return places

    def count_usable_places(self, service, step, taken):
        """Returns for how many items of the step there has been room for MAX_WAIT_S."""
        rooms = [room for _, room in self.looks[service]]
        always_sound = set.intersection(*(set(room) for room in rooms))
        unused = {executor: {name: min(room[executor][name] for room in rooms) for name in CAPACITY} for executor in always_sound}
        places = self.count_places(unused, step, taken)
        is_half_free = all(2 * sum(free[name] for free in room.values()) > self.soak.count_executors(service) * CAPACITY[name]
                           for room in rooms for name in CAPACITY)
        return max(places, min(self.count_places(room, step, taken) for room in rooms)) if is_half_free else places

    def look(self, now):
        checker = self.soak.checker
        with checker.lock:
            waiting = checker.find_waiting_items(now)
        for service, looks in self.looks.items():
            looks.append((now, self.soak.measure_room(service)))
            self.looks[service] = [look for look in looks if now - look[0] <= MAX_WAIT_S]
        self.waiting_since = {item: self.waiting_since.get(item, now) for item, _, _ in waiting if item not in self.reported}
        for item, step, taken in waiting:
            since = self.waiting_since.get(item, now)
            self.longest_wait_s = max(self.longest_wait_s, now - since)
            if now - since <= MAX_WAIT_S:
                continue
            record = checker.jobs[item.split(".")[0]]
            places = self.count_usable_places(SERVICE_BY_PREFIX[record["prefix"]], step, taken)
            if places >= 2:
                self.report(item, record, step, places, since)

    def report(self, item, record, step, places, since):
        """Reports the item as lost, unless callers see that its job has ended: not all ends that executors forgot in a crash are known here."""
        self.reported.add(item)
        answer = self.soak.observer.call("GET", record["prefix"] + item.split(".")[0])
        state = json.loads(answer[1] or b"{}").get("state") if answer and answer[0] == 200 else answer
        if state in ("completed", "failed", "cancelled") and not record["is_lasting"]:
            record["is_over"] = True
            return
        self.soak.checker.report_violation("LOST: %s could run and doesn't since %.2f s, with room for it %d times; it needs %s and is %s (%s); free: %s" % (
            item, since - START_TIME, places, {name: step[name] for name in CAPACITY}, state, "lasting" if record["is_lasting"] else "finite",
            self.soak.measure_room(SERVICE_BY_PREFIX[record["prefix"]])))


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
        self.write_settings(0.5 if number < 4 else 0.12)
        self.unexpected_exits = []
        self.start()

    def write_settings(self, share):
        with open(self.settings + ".new", "w") as file:
            json.dump({"node": self.name, "zone": "z", "ip": self.host,
                       "listen": {"front": "%s:%d" % (self.host, FRONT_PORT), "ready": "%s:%d" % (self.host, READY_PORT)},
                       "port_range": [METRICS_PORT, METRICS_PORT], "limits": {"cpu_share": share, "cores": 1}, "bounds": BOUNDS,
                       "platform": {"address": self.proxy.address, "parts": PARTITION_COUNT, "min_ttl_ms": 1000}}, file)
        os.replace(self.settings + ".new", self.settings)

    def is_up(self):
        return self.child.poll() is None and not self.exit_expected

    def start(self):
        self.exit_expected = False
        self.child = subprocess.Popen([self.program], env=dict(os.environ, MANGOCOURSE_NODE_FILE=self.settings), stdout=self.log, stderr=self.log)

    def send_signal(self, number):
        self.exit_expected = self.exit_expected or number in (signal.SIGTERM, signal.SIGKILL)
        if self.child.poll() is None:
            self.child.send_signal(number)

    def restart_if_exited(self):
        """Restarts the process if it has exited, and returns whether it had; records the exit code if no fault caused the exit."""
        code = self.child.poll()
        if code is None:
            return False
        if not self.exit_expected:
            self.unexpected_exits.append(code)
        self.start()
        return True

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
        self.lasting_jobs = []

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
            kind = self.random.random()
            if kind < 0.12:
                large = self.random.choice([{"cpu": 7500}, {"cpu": 12000}, {"mem_mb": 30000}, {"mem_mb": 40000}])
                steps = [dict(earlier, count=self.random.randint(1, 2), **large) for earlier in steps]
            elif kind < 0.2:
                limits = self.random.choice([{}, {"may_miss": 1}, {"anti_affinity": 1}, {"may_miss": 1, "anti_affinity": 2}])
                steps = [dict(step, count=self.random.randint(1, 3), cpu=500, mem_mb=500, long_running=True, **limits)]
                self.lasting_jobs.append((prefix, job))
            self.submit(prefix, job, steps)
            time.sleep(self.random.uniform(0.05, 0.4))
            if len(self.lasting_jobs) > MAX_LASTING_JOBS_PER_CALLER:
                self.cancel(*self.lasting_jobs.pop(0))
            elif self.random.random() < 0.1 and (prefix, job) not in self.lasting_jobs:
                self.cancel(prefix, job)

    def submit(self, prefix, job, steps):
        with self.checker.lock:
            record = self.checker.jobs.setdefault(job, {})
            record.update(submitted=True, prefix=prefix, steps=steps, is_lasting="long_running" in steps[0])
        body = json.dumps({"spec": "work", "steps": steps})
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
        self.checker.jobs[job]["cancel_sent"] = True
        answer = self.call("DELETE", prefix + job)
        if answer and answer[0] == 200:
            with self.checker.lock:
                self.checker.jobs[job]["cancelled"] = time.monotonic()
        else:
            # Without a 200 the cancellation may or may not have been recorded.
            self.checker.jobs[job]["unsure"] = True


def set_mode(proxy, value):
    proxy.mode = value


def no_recovery():
    pass


class Soak:
    def __init__(self, arguments, seed, directory):
        self.random = random.Random(seed)
        # Lengths, and the faults of each source, are drawn by themselves, so that a run that is slower does not shift the others.
        self.length_random = random.Random("lengths %d" % seed)
        self.further_random = random.Random("further faults %d" % seed)
        self.executor_random = random.Random("executor faults %d" % seed)
        random.seed(seed)
        self.checker = InvariantChecker()
        self.store = Store(PARTITION_COUNT)
        self.version = 0
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
        self.recoveries = []
        self.disturbed_at = time.monotonic()
        self.observer = Caller(98, seed, self.processes, self.checker, self.stop)
        self.waiting_work_check = WaitingWorkCheck(self)

    def publish_configuration(self):
        """Publishes the next version; all but the first differ from the one before in a queue that nobody uses and in the target latency."""
        self.version += 1
        prefixes = dict(SERVICE_BY_PREFIX, **({"/spare-%d/" % self.version: "shop"} if self.version > 1 else {}))
        routes = [{"name": "r" + prefix.strip("/"), "host": "soak", "path_prefix": prefix, "service": service, "max_attempts": MAX_ATTEMPTS, "slack_factor": 2,
                   "target_latency_ms": 600 + self.version - 1} for prefix, service in prefixes.items()]
        services = [{"name": service, "rejects_overload": True, "max_conns": 64} for service in SERVICE_BY_PREFIX.values()]
        self.store.append_record("keyed.op", "config", {"version": self.version, "routes": routes, "services": services})

    def measure_calm(self, now):
        """Returns for how many seconds no fault has started, ended or been active, with all processes up and no order on its way."""
        if self.recoveries or not all(process.is_up() for process in self.processes) or any(executor.late_orders for executor in self.executors):
            self.disturbed_at = now
        return now - self.disturbed_at

    def measure_room(self, service):
        """Returns the free capacity of each sound executor of the service, by its name."""
        return {executor.name: executor.compute_free() for executor, proxy in zip(self.executors, self.executor_proxies)
                if executor.service == service and executor.is_sound() and proxy.mode == "pass"}

    def count_executors(self, service):
        return sum(1 for executor in self.executors if executor.service == service)

    def restart_processes(self):
        if any([process.restart_if_exited() for process in self.processes]):
            self.disturbed_at = time.monotonic()

    def choose_fault(self, generator, find_kinds):
        """Chooses a fault and its targets; returns its description and a function that starts it and returns a function that ends it."""
        process = generator.choice(self.processes)
        number = generator.randrange(len(self.executors))
        executor, executor_proxy = self.executors[number], self.executor_proxies[number]
        kinds = find_kinds(generator, process, executor, executor_proxy)
        weights = [1 if kind == "all killed" else 4 for kind in kinds]
        name = generator.choices(list(kinds), weights)[0]
        return "%s (%s, %s)" % (name, process.name, executor.name), kinds[name]

    def find_kinds(self, generator, process, executor, executor_proxy):
        def set_store_fault(value):
            self.store.fault_mode = value

        def resume_process():
            process.send_signal(signal.SIGCONT)

        return {
            "kill": lambda: (process.send_signal(signal.SIGKILL), no_recovery)[1],
            "stop": lambda: (process.send_signal(signal.SIGTERM), no_recovery)[1],
            "reload": lambda: (process.send_signal(signal.SIGHUP), no_recovery)[1],
            "pause": lambda: (process.send_signal(signal.SIGSTOP), resume_process)[1],
            "store cut off from one": lambda: (set_mode(process.proxy, generator.choice(["silent", "one-way", "slow"])),
                                                lambda: set_mode(process.proxy, "pass"))[1],
            "store connections reset": lambda: (process.proxy.reset(), no_recovery)[1],
            "store refuses": lambda: (set_store_fault("refuse"), lambda: set_store_fault("none"))[1],
            "store loses answers": lambda: (set_store_fault("lose-answers"), lambda: set_store_fault("none"))[1],
            "executor cut off": lambda: (set_mode(executor_proxy, generator.choice(["silent", "one-way", "slow"])),
                                        lambda: set_mode(executor_proxy, "pass"))[1],
            "executor connections reset": lambda: (executor_proxy.reset(), no_recovery)[1],
            "executor crashes": lambda: (executor.crash(), executor.restart)[1],
            "all killed": lambda: ([target.send_signal(signal.SIGKILL) for target in self.processes], no_recovery)[1],
        }

    def find_further_kinds(self, generator, process, executor, executor_proxy):
        def cut_off_idle():
            order = generator.sample(range(len(self.executors)), len(self.executors))
            idle = [self.executor_proxies[number] for number in order if not self.executors[number].running]
            proxy = idle[0] if idle else executor_proxy
            proxy.mode = generator.choice(["silent", "one-way"])
            return lambda: set_mode(proxy, "pass")

        def cut_off_pool():
            pool = [proxy for target, proxy in zip(self.executors, self.executor_proxies) if target.service == executor.service]
            mode = generator.choice(["silent", "one-way"])
            for proxy in pool:
                proxy.mode = mode
            return lambda: [set_mode(proxy, "pass") for proxy in pool]

        def set_health(statuses):
            executor.unhealthy_statuses = statuses

        def set_order_fault(value):
            executor.order_fault = value

        def change_settings():
            process.write_settings(generator.choice([0.4, 0.5, 0.6]))
            process.send_signal(signal.SIGHUP)
            return no_recovery

        def stop_in_turn():
            for number, target in enumerate(self.processes):
                self.recoveries.append((time.monotonic() + number * STOP_SERIES_INTERVAL_S, lambda target=target: target.send_signal(signal.SIGTERM)))
            return no_recovery

        return {
            "idle executor cut off": cut_off_idle,
            "pool cut off": cut_off_pool,
            "executor unhealthy": lambda: (set_health(generator.choice([[429], [503], [429, 503]])), lambda: set_health([]))[1],
            "executor unlisted": lambda: (executor.unlist(), executor.list_again)[1],
            "answers to orders lost": lambda: (set_order_fault("lose-answers"), lambda: set_order_fault("none"))[1],
            "orders late": lambda: (set_order_fault("late"), lambda: set_order_fault("none"))[1],
            "configuration changes": lambda: (self.publish_configuration(), no_recovery)[1],
            "settings change": change_settings,
            "all stopped in turn": stop_in_turn,
        }

    def end_faults(self):
        """Ends the faults whose time is over."""
        for entry in [entry for entry in self.recoveries if entry[0] < time.monotonic()]:
            entry[1]()
            self.disturbed_at = time.monotonic()
            self.recoveries.remove(entry)

    def find_executor_kinds(self, generator, process, executor, executor_proxy):
        kinds = dict(self.find_kinds(generator, process, executor, executor_proxy), **self.find_further_kinds(generator, process, executor, executor_proxy))
        return {name: start for name, start in kinds.items() if any(word in name for word in ("executor", "pool", "order", "change"))}

    def inject_series(self, until, sources):
        """Injects faults at random intervals; a source is a generator, its kinds, their longest duration and the time of its next fault."""
        while time.monotonic() < until:
            self.restart_processes()
            for source in sources:
                generator, find_kinds, longest_s, next_fault_at = source
                if time.monotonic() > next_fault_at:
                    name, start = self.choose_fault(generator, find_kinds)
                    self.disturbed_at = time.monotonic()
                    recover = start()
                    self.recoveries.append((time.monotonic() + generator.uniform(0.3, longest_s), recover))
                    self.faults.append("%.2f s: %s, until %.2f s" % (time.monotonic() - START_TIME, name, self.recoveries[-1][0] - START_TIME))
                    source[3] += generator.uniform(0.2, 2.5)
            self.end_faults()
            time.sleep(0.05)

    def pause_faults(self):
        """Lets the active faults end and waits for some seconds more without a fault."""
        until = time.monotonic() + self.length_random.uniform(*PAUSE_S)
        while self.recoveries or time.monotonic() < max(until, self.disturbed_at + JUDGED_PAUSE_S):
            self.restart_processes()
            self.end_faults()
            time.sleep(0.05)

    def inject_faults(self):
        """Injects all kinds of faults in series for the configured time. After each, executors and settings have a series while no process is disturbed."""
        remaining_s = self.seconds
        started_at = time.monotonic()
        sources = [[self.random, self.find_kinds, LONGEST_FAULT_S, started_at + 4.0],
                   [self.further_random, self.find_further_kinds, LONGEST_FURTHER_FAULT_S, started_at + 4.0]]
        length_s = 4.0 + self.length_random.uniform(*SERIES_S)
        while remaining_s > 0:
            # A rest too short for a series of its own belongs to this one.
            length_s = length_s if remaining_s - length_s > SERIES_S[0] else remaining_s
            ended_at = time.monotonic() + length_s
            self.inject_series(ended_at, sources)
            self.pause_faults()
            self.inject_series(time.monotonic() + self.length_random.uniform(*SERIES_S),
                               [[self.executor_random, self.find_executor_kinds, LONGEST_FURTHER_FAULT_S, time.monotonic()]])
            self.pause_faults()
            for source in sources:
                source[3] += time.monotonic() - ended_at
            remaining_s -= length_s
            length_s = self.length_random.uniform(*SERIES_S)

    def run(self):
        callers = [Caller(number, self.random.randrange(10 ** 6), self.processes, self.checker, self.stop) for number in range(4)]
        self.waiting_work_check.start()
        time.sleep(2.0)
        for caller in callers:
            caller.start()
        self.inject_faults()
        self.stop.set()
        for caller in callers:
            caller.join(12)
        self.check_jobs()
        self.waiting_work_check.is_stopped.set()
        for process in self.processes:
            if process.unexpected_exits:
                self.checker.report_violation("CRASH: %s ended by itself with %s" % (process.name, process.unexpected_exits))

    def check_jobs(self):
        """Polls accepted jobs until all are final, or run if they last, or SETTLE_TIMEOUT_S is over; reports lost jobs and refused ones that ran."""
        caller = Caller(99, 1, self.processes, self.checker, self.stop)
        deadline = time.monotonic() + SETTLE_TIMEOUT_S
        accepted = {job: record for job, record in self.checker.jobs.items() if record.get("accepted")}
        lasting = {job: record for job, record in accepted.items() if record["is_lasting"] and not record.get("cancel_sent")}
        unfinished = {job: record for job, record in accepted.items() if job not in lasting and not (record["is_lasting"] and record.get("unsure"))}
        states = {}
        while (unfinished or self.find_absent(lasting)) and time.monotonic() < deadline:
            self.restart_processes()
            for job, record in list(unfinished.items()):
                answer = caller.call("GET", record["prefix"] + job)
                states[job] = answer and (answer[0], json.loads(answer[1] or b"{}").get("state"))
                if answer and answer[0] == 200 and states[job][1] in ("completed", "failed", "cancelled"):
                    self.check_final_state(job, record, states[job][1])
                    del unfinished[job]
            time.sleep(0.2)
        for job, record in lasting.items():
            answer = caller.call("GET", record["prefix"] + job)
            if answer and answer[0] == 200 and json.loads(answer[1]).get("state") == "running":
                continue
            self.checker.report_violation("LOST: %s is to last and its state is %s at the end" % (job, answer))
        for item in self.find_absent(lasting):
            self.checker.report_violation("LOST: %s is to last and doesn't run at the end" % item)
        for job in unfinished:
            self.checker.report_violation("LOST: %s was accepted and is %s at the end" % (job, states.get(job)))
        for job, record in self.checker.jobs.items():
            if record.get("rejected") and record.get("started"):
                self.checker.report_violation("REFUSED: %s was refused each time, and it ran" % job)

    def find_absent(self, lasting):
        """Returns the items of the lasting jobs that don't run, except those that have just ended."""
        now = time.monotonic()
        items = ["%s.0.0.%d" % (job, index) for job, record in lasting.items() for index in range(record["steps"][0]["count"])]
        with self.checker.lock:
            return [item for item in items if not self.checker.running.get(item) and now - self.checker.last_ends.get(item, 0.0) > LASTING_RESTART_S]

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
    if soak.waiting_work_check.judged_s < MAX_WAIT_S:
        checker.report_violation("IDLE: only %.1f s of calm were judged" % soak.waiting_work_check.judged_s)
    print("seed %d: %d jobs accepted, %d items done, %d faults, longest wait in %.0f s of calm %.1f s, %d promises broken"
          % (seed, accepted, len(checker.completed), len(soak.faults), soak.waiting_work_check.judged_s, soak.waiting_work_check.longest_wait_s,
             len(checker.violations)), flush=True)
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
    parser.add_argument("--seeds", help="seeds such as 1-50 or 1,5-7; overrides --seed")
    parser.add_argument("--seconds", type=float, default=20, help="duration of the fault injection, in seconds")
    parser.add_argument("--processes", type=int, default=5)
    parser.add_argument("--executors", type=int, default=8)
    parser.add_argument("--logs", help="directory for the logs of failed seeds")
    arguments = parser.parse_args()
    seeds = []
    for part in (arguments.seeds or str(arguments.seed)).split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    failed = [seed for seed in seeds if run_seed(arguments, seed)]
    print("%d seeds, %d failed%s" % (len(seeds), len(failed), ": " + ", ".join(map(str, failed)) if failed else ""))
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
