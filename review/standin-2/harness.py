"""Stand-ins and helpers that the scripts of review/6 to review/10 share.

The record store is the project's own stand-in (src/standin_fleet/fleet.py). The executors here follow the platform's pages for gangs,
checkpoints, leases, fencing and stops. All addresses are loopback addresses with free ports; all files are in a temporary folder.
"""
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

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
sys.path.insert(0, os.path.join(ROOT, "src", "standin_fleet"))

from fleet import Store, serve  # noqa: E402

PROGRAM = os.path.join(ROOT, "target", "bin", "mangocourse-scheduler")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
GANG_S = 3.0
MAX_HOLD_MS = 6000
# Time until the other members of a gang notice that one has ended.
GANG_NOTICE_S = 0.05
HEARTBEAT_S = 1.5
# A case ends by itself well within 120 s.
LIMIT_S = 110


class Record:
    """Writes what was sent, answered and run to a file, with the seconds since the start."""

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(path, "w")

    def write(self, text):
        with self.lock:
            self.file.write("%8.3f s  %s\n" % (time.monotonic() - self.started_at, text))
            self.file.flush()


class NoChecker:
    """The store tells its checker which records it has stored; nothing here needs that."""

    def record_stored(self, *_):
        pass


class LateStore(Store):
    """The store, which leaves some appends without an answer and carries them out seconds later."""

    def __init__(self, partition_count, record):
        super().__init__(partition_count, NoChecker())
        self.record = record
        # Called with topic, partition and keys of each append; returns the seconds after which it is carried out, or None to answer it.
        self.delay_of = lambda topic, part, keys: None
        self.appends = []

    def respond(self, path, query, body, call):
        if path != "/log-append":
            return super().respond(path, query, body, call)
        keys = [record[1:1 + record[0]].decode(errors="replace") for record in self.split_records(body)]
        delay_s = self.delay_of(query["topic"], int(query["part"]), keys)
        self.appends.append((time.monotonic(), delay_s))
        if delay_s is None:
            return super().respond(path, query, body, call)

        def carry_out():
            time.sleep(delay_s)
            answer = Store.respond(self, path, query, body, call)
            self.record.write("store: %s of %s to %s/%s, carried out now: %s" % (path, " ".join(keys), query["topic"], query["part"], answer))

        self.record.write("store: %s of %s to %s/%s gets no answer, carried out in %.1f s" % (path, " ".join(keys), query["topic"], query["part"], delay_s))
        threading.Thread(target=carry_out, daemon=True).start()
        time.sleep(2.5)
        return None


def free_port(host="127.0.0.1"):
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


class Run:
    def __init__(self, task, run, request, step, now):
        self.task, self.run, self.step = task, run, step
        self.job, occurrence, number, index = task.split(".")
        self.gang = (self.job, occurrence, number, run) if step.get("gang") else None
        self.index = int(index)
        self.started_at = now
        self.begun_at = None if self.gang else now
        self.fails = False
        self.ends_at = None
        self.outcome = None
        self.checkpoint = request.get("checkpoint", "")

    def end_at(self, at, outcome):
        if self.ends_at is None or at < self.ends_at:
            self.ends_at, self.outcome = at, outcome


class Fleet:
    """The executors, and what runs on them."""

    def __init__(self, store, record):
        self.store, self.record = store, record
        self.lock = threading.Condition()
        self.executors = []
        self.steps = {}
        self.starts = []
        self.ends = []
        threading.Thread(target=self.advance_loop, daemon=True).start()

    def add(self, *arguments, **options):
        executor = Executor(self, *arguments, **options)
        self.executors.append(executor)
        return executor

    def advance_loop(self):
        while True:
            time.sleep(0.005)
            with self.lock:
                now = time.monotonic()
                self.advance_gangs(now)
                for executor in self.executors:
                    executor.advance(now)

    def advance_gangs(self, now):
        gangs = {}
        for executor in self.executors:
            for run in executor.running.values():
                if run.gang:
                    gangs.setdefault(run.gang, []).append(run)
        for members in gangs.values():
            size = members[0].step["count"]
            if members[0].begun_at is None:
                if len(members) == size:
                    for run in members:
                        run.begun_at = now
                        run.end_at(now + (0.05 if run.fails else run.step["work_s"]), "failed" if run.fails else "done")
                else:
                    for run in members:
                        if now - run.started_at > GANG_S:
                            run.end_at(now, "alone")
            elif len(members) < size:
                for run in members:
                    run.end_at(now + GANG_NOTICE_S, "broken")


class Executor:
    """An executor; its fields set what it does to the calls that it gets."""

    def __init__(self, fleet, name, service, labels, capacity, stop_s=0.1):
        self.fleet, self.name, self.service, self.labels, self.capacity, self.stop_s = fleet, name, service, labels, capacity, stop_s
        self.boot_id = int(time.time() * 1000)
        self.boot_time = time.monotonic()
        self.token, self.lease_until, self.last_end = 0, 0, 0
        self.running, self.highest, self.ended, self.last_taken_note = {}, {}, [], 0
        # Number of the last end before the lease lapsed, and the ends `done` that have been taken note of.
        self.last_end_before_lapse, self.noted, self.listed = 0, {}, set()
        self.is_up = True
        # Called with each run that starts; sets its field `fails`.
        self.on_start = lambda run: None
        # Called with path and request; returns None to handle the call, or the seconds after which it is carried out without an answer.
        self.delay_of = lambda path, request: None
        self.address = serve(self)
        self.advertised = self.address
        threading.Thread(target=self.heartbeat_loop, daemon=True).start()

    def crash(self):
        """Ends all that runs here; the executor answers nothing until restart()."""
        with self.fleet.lock:
            self.is_up, self.running = False, {}
            self.fleet.lock.notify_all()
        self.fleet.record.write("%s: crashes" % self.name)

    def restart(self):
        """Starts the executor again under its id; it knows nothing of before."""
        with self.fleet.lock:
            self.boot_id, self.boot_time = int(time.time() * 1000), time.monotonic()
            self.token, self.lease_until, self.last_end, self.last_end_before_lapse = 0, 0, 0, 0
            self.running, self.highest, self.ended, self.last_taken_note = {}, {}, [], 0
            self.is_up = True
        self.fleet.record.write("%s: is up again" % self.name)

    def heartbeat_loop(self):
        sequence = 0
        known_boot = 0
        while True:
            sequence += 1
            # After a start the first entry follows at once.
            if not self.is_up or (known_boot == self.boot_id and time.monotonic() < next_at):
                time.sleep(0.02)
                continue
            if known_boot not in (0, self.boot_id):
                time.sleep(0.05)
            known_boot, next_at = self.boot_id, time.monotonic() + HEARTBEAT_S
            self.fleet.store.append_record("keyed.servers", self.name, {
                "service": self.service, "address": self.advertised, "zone": "z-a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "born": self.boot_id, "machine": "m-" + self.name, "sequence": sequence, "capacity": self.capacity, "labels": self.labels})

    def clock(self):
        return int((time.monotonic() - self.boot_time) * 1000) + 1000

    def used(self):
        return {name: sum(run.step.get(name, 0) for run in self.running.values()) for name in self.capacity}

    def advance(self, now):
        if self.lease_until < self.clock():
            self.last_end_before_lapse = self.last_end
            for run in self.running.values():
                run.end_at(now, "lapsed")
        for run in [run for run in self.running.values() if run.ends_at is not None and run.ends_at <= now]:
            del self.running[run.task]
            self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
            self.last_end += 1
            self.ended.append([self.last_end, run.task, run.run, run.outcome, ""])
            self.fleet.ends.append((now, self.name, run.task, run.run, run.outcome))
            self.fleet.record.write("%s: run %d of %s has ended %s" % (self.name, run.run, run.task, run.outcome))
            self.fleet.lock.notify_all()

    def respond(self, path, _query, body, call):
        request = json.loads(body or b"{}")
        if not self.is_up:
            return None
        if call.headers.get("X-Expect-Instance", self.name) != self.name:
            return 421, {}
        delay_s = self.delay_of(path, request)
        if delay_s is not None:
            self.fleet.record.write("%s: %s %s gets no answer and is carried out in %.1f s" % (self.name, path, json.dumps(request), delay_s))
            threading.Thread(target=lambda: (time.sleep(delay_s), self.carry_out(path, request)), daemon=True).start()
            time.sleep(3)
            return None
        return self.carry_out(path, request)

    def carry_out(self, path, request):
        with self.fleet.lock:
            if request.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.token = request.get("fencing_token", 0)
            call = {"/run-start": self.start, "/run-stop": self.stop, "/hold": self.hold, "/pace": lambda _: (200, {"clock_ms": self.clock()})}.get(path)
            return call(request) if call else (404, {})

    def extend(self, until):
        self.lease_until = max(self.lease_until, min(until, self.clock() + MAX_HOLD_MS))

    def start(self, request):
        task, number, clock = request["task"], request["run"], {"clock_ms": self.clock()}
        if task in self.running and self.running[task].run == number:
            self.extend(request["until_ms"])
            return 200, clock
        if task in self.running or number <= self.highest.get(task, 0):
            self.extend(request["until_ms"])
            return 409, dict(clock, reason="old")
        if request["until_ms"] <= self.clock():
            return 409, dict(clock, reason="late")
        job, _, step_number, _ = task.split(".")
        steps = self.fleet.steps.get(job)
        step = steps[int(step_number)] if steps else {"count": 1, "cpu": 0, "mem_mb": 0, "work_s": 1.0}
        used = self.used()
        self.extend(request["until_ms"])
        if any(used[name] + step.get(name, 0) > amount for name, amount in self.capacity.items()):
            return 409, dict(clock, reason="room")
        now = time.monotonic()
        run = Run(task, number, request, step, now)
        self.on_start(run)
        self.running[task] = run
        if not run.gang and not step.get("long_running"):
            run.end_at(now + step["work_s"], "failed" if run.fails else "done")
        self.fleet.starts.append((now, self.name, task, number))
        self.fleet.record.write("%s: run %d of %s starts" % (self.name, number, task))
        return 200, clock

    def stop(self, request):
        task = request["task"]
        self.highest[task] = max(self.highest.get(task, 0), request["run"])
        if task in self.running and self.running[task].run <= request["run"]:
            self.running[task].end_at(time.monotonic() + self.stop_s, "stopped")
        return 200, {"clock_ms": self.clock()}

    def hold(self, request):
        if "until_ms" in request:
            self.extend(request["until_ms"])
        self.last_taken_note = max(self.last_taken_note, request.get("last_seen", 0))
        for number, task, run, outcome, _ in self.ended:
            if outcome == "done" and self.last_end_before_lapse < number <= request.get("last_seen", 0):
                self.noted[task] = run
                if (self.boot_id, number) not in self.listed:
                    self.fleet.record.write("%s: a /hold with last_seen %d takes note of end %d, run %d of %s, which was never listed" % (
                        self.name, request["last_seen"], number, run, task))
        self.ended = [end for end in self.ended if end[0] > request.get("last_seen", 0)]
        deadline, boot_id = time.monotonic() + request.get("wait_ms", 0) / 1000, self.boot_id
        while not self.ended and time.monotonic() < deadline and self.is_up and self.boot_id == boot_id:
            self.fleet.lock.wait(deadline - time.monotonic())
        if not self.is_up or self.boot_id != boot_id:
            return None
        self.listed.update((self.boot_id, end[0]) for end in self.ended[:500])
        rows = [[run.task, run.run, run.checkpoint, 100 if run.begun_at else 0, 0] for run in self.running.values()]
        return 200, {"clock_ms": self.clock(), "born": self.boot_id, "running": rows, "ended_runs": self.ended[:500]}


class Line:
    """The network in front of an executor that crashes and starts again: a loopback proxy.

    A connection from before a crash stays open and silent. What is sent on it is lost; a copy of it, sent again as TCP does (0.2, 0.6 or 1.4 s after
    it was sent), reaches the next boot, which does not know the connection and resets it. What is sent on a connection that is opened while the executor is
    down is lost.
    """

    RESENT_AFTER_S = (0.2, 0.6, 1.4)

    def __init__(self, executor):
        self.executor = executor
        host, port = executor.address.split(":")
        self.target = (host, int(port))
        listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        executor.advertised = "127.0.0.1:%d" % listener.getsockname()[1]
        threading.Thread(target=self.accept_loop, args=(listener,), daemon=True).start()

    def accept_loop(self, listener):
        while True:
            client, _ = listener.accept()
            threading.Thread(target=self.forward, args=(client, self.executor.boot_id if self.executor.is_up else -1), daemon=True).start()

    def forward(self, client, boot_id):
        server = None
        try:
            while data := client.recv(65536):
                sent_at = time.monotonic()
                if not self.executor.is_up or self.executor.boot_id != boot_id:
                    if boot_id != -1:
                        self.reset(client, sent_at)
                        return
                    continue
                if server is None:
                    server = socket.create_connection(self.target, 2)
                    threading.Thread(target=self.backward, args=(server, client, boot_id), daemon=True).start()
                server.sendall(data)
        except OSError:
            # The other side has closed the connection.
            pass
        finally:
            client.close()

    def reset(self, client, sent_at):
        for delay_s in self.RESENT_AFTER_S:
            time.sleep(max(0.0, sent_at + delay_s - time.monotonic()))
            if self.executor.is_up:
                break
        client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")

    def backward(self, server, client, boot_id):
        try:
            while data := server.recv(65536):
                if self.executor.is_up and self.executor.boot_id == boot_id:
                    client.sendall(data)
            if self.executor.is_up and self.executor.boot_id == boot_id:
                client.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The caller has closed the connection.
            pass
        finally:
            server.close()


class Process:
    """A scheduler process, started with the command of the deploy file."""

    def __init__(self, number, store_address, folder, record, share=0.25, partitions=8, log_folder=None):
        self.name, self.record, self.folder = "front-z-a-%d" % number, record, folder
        # An address of its own, so that no outgoing connection of another process takes one of its ports.
        self.host = "127.%d.%d.%d" % (30 + (os.getpid() >> 8) % 200, os.getpid() % 256, number)
        self.front, self.ready, self.metrics = free_port(self.host), free_port(self.host), free_port(self.host)
        self.settings = os.path.join(folder, self.name + ".json")
        bounds = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
                  "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recover_s": 12, "max_hold_ms": MAX_HOLD_MS,
                  "stop_ms": 200, "gang_ms": int(GANG_S * 1000), "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
                  "cross_rack_factor": 3, "checkpoint_s": 0.5, "restore_ms": 600, "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2,
                  "enforce_fencing": True, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000}
        with open(self.settings, "w") as file:
            json.dump({"node": self.name, "role": "scheduler", "machine_class": "front", "serves": ["front"], "ip": self.host, "zone": "z-a", "region": "r",
                       "zones": {"z-a": "r"}, "listen": {"front": "%s:%d" % (self.host, self.front), "ready": "%s:%d" % (self.host, self.ready)},
                       "port_range": [self.metrics, self.metrics], "seeds": [], "bootstrap": True, "counts_as_loss": False,
                       "limits": {"cpu_share": share, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}, "data_dir": None,
                       "discovery": "platform", "entry": "vip", "heartbeat_ms": int(HEARTBEAT_S * 1000),
                       "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"], "tolerate": {"machines": 2, "zones": 1, "regions": 0},
                       "bounds": bounds, "orders": "request",
                       "platform": {"address": store_address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": partitions, "append_ms": 4.0,
                                    "part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": 262144, "request_bytes": 2097152, "keep_s": 300,
                                    "part_mb": 200, "min_ttl_ms": 1000}}, file)
        self.log_path = os.path.join(folder, self.name + ".log")
        self.start()

    def start(self):
        self.log = open(self.log_path, "ab")
        self.child = subprocess.Popen([PROGRAM], cwd=ROOT, env={"PATH": os.environ["PATH"], "HOME": self.folder, "MANGOCOURSE_NODE_FILE": self.settings},
                                      stdout=self.log, stderr=self.log)
        self.started_at = time.monotonic()
        self.record.write("%s starts" % self.name)

    def signal(self, number):
        self.record.write("%s gets %s" % (self.name, signal.Signals(number).name))
        self.child.send_signal(number)

    def is_ready(self):
        try:
            connection = http.client.HTTPConnection(self.host, self.ready, timeout=1)
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except OSError:
            return False

    def call(self, method, path, body=None, host="shop.example", timeout_s=3.0):
        """Sends a client's request; returns the status and the decoded body, or (None, None) without an answer."""
        connection = http.client.HTTPConnection(self.host, self.front, timeout=timeout_s)
        try:
            connection.request(method, path, None if body is None else json.dumps(body),
                               {"Host": host, "Content-Type": "application/json", "X-Deadline-Ms": str(int(timeout_s * 1000))})
            response = connection.getresponse()
            content = response.read()
            answer = response.status, json.loads(content or b"{}")
        except (OSError, http.client.HTTPException) as error:
            answer = None, type(error).__name__
        finally:
            connection.close()
        self.record.write("client: %s %s at %s -> %s %s" % (method, path, self.name, answer[0], answer[1]))
        return answer

    def state(self):
        connection = http.client.HTTPConnection(self.host, self.metrics, timeout=2)
        connection.request("GET", "/state")
        return json.loads(connection.getresponse().read())

    def close(self):
        if self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()
        self.log.close()


class Deployment:
    """A store, executors and scheduler processes in a temporary folder; close() ends them all."""

    def __init__(self, folder, record_name="record.txt", partitions=8):
        if not os.path.exists(PROGRAM):
            print("build the program first, with the command of deploy/system.toml")
            sys.exit(NOT_RUN)
        self.record = Record(os.path.join(folder, record_name))
        self.directory = tempfile.mkdtemp(prefix="mangocourse-review-")
        self.partitions = partitions
        self.store = LateStore(partitions, self.record)
        self.fleet = Fleet(self.store, self.record)
        self.processes = []
        self.version = 0
        watchdog = threading.Timer(LIMIT_S, lambda: finish(self, NOT_RUN, "the case did not end in time"))
        watchdog.daemon = True
        watchdog.start()

    def publish(self, routes, services):
        self.version += 7
        self.store.append_record("keyed.op", "config", {"version": self.version, "routes": routes, "services": services, "limits": {}})
        self.record.write("operator: configuration %d, %s" % (self.version, ", ".join("%s to %s" % (route["path_prefix"], route["service"]) for route in routes)))

    def start_process(self, **options):
        process = Process(len(self.processes) + 1, self.store.address, self.directory, self.record, partitions=self.partitions, **options)
        self.processes.append(process)
        return process

    def partitions_of_pools(self):
        """Returns the partition of each service that a process owns now."""
        return {pool["service"]: pool["partition"] for process in self.processes for pool in process.state()["pools"]}

    def wait_ready(self, processes=None, timeout_s=20):
        deadline = time.monotonic() + timeout_s
        while not all(process.is_ready() for process in processes or self.processes):
            if time.monotonic() > deadline:
                return False
            time.sleep(0.1)
        return True

    def submit(self, process, prefix, job, steps, work=None):
        """Submits a job; `work` has for each step what its work items do in the stand-ins."""
        self.fleet.steps[job] = [dict(step, **extra) for step, extra in zip(steps, work or [{}] * len(steps))]
        return process.call("POST", prefix + job, {"spec": "work of " + job, "steps": steps})

    def close(self, keep_logs_in=None):
        for process in self.processes:
            process.close()
        if keep_logs_in:
            shutil.copytree(self.directory, keep_logs_in, dirs_exist_ok=True)
        shutil.rmtree(self.directory)
        self.record.file.close()


def route(name, prefix, service, **fields):
    return dict({"name": name, "host": "shop.example", "path_prefix": prefix, "service": service, "priority": 0, "max_attempts": 3, "slack_factor": 2.0,
                 "target_latency_ms": 600, "timeout_ms": 3000}, **fields)


def service(name, rejects_overload=True):
    return {"name": name, "rejects_overload": rejects_overload, "max_conns": 64, "health_path": "/health"}


def finish(deployment, verdict, text):
    """Ends the case: writes the verdict, ends all processes and exits."""
    deployment.record.write("verdict: " + text)
    print(text)
    deployment.close(os.environ.get("KEEP_LOGS"))
    os._exit(verdict)
