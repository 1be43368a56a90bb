"""The fault soak's scheduler processes, the proxies between them and their peers, and the callers that submit jobs."""
import http.client
import json
import os
import random
import signal
import socket
import subprocess
import threading
import time
from concurrent.futures import ThreadPoolExecutor

from judge import SERVICE_BY_PREFIX

PARTITION_COUNT = 4
BOUNDS = {"max_hold_ms": 6000, "stop_ms": 200, "grace_s": 4, "status_s": 120, "lease_ms": 3000}
FRONT_PORT, READY_PORT, METRICS_PORT = 8001, 8002, 8003
MAX_LASTING_JOBS_PER_CALLER = 2


class Hold:
    """Holds back what is sent on some connections, and the news of their end; all of it is delivered once the hold has ended."""

    def __init__(self, generator, direction, share):
        self.random = generator
        self.direction = direction
        self.share = share
        self.is_over = False

    def covers(self, is_answer):
        return not self.is_over and self.direction in ("both", "answers" if is_answer else "requests")

    def choose(self, links):
        for link in links:
            if self.random.random() < self.share:
                link.holds.append(self)

    def end(self):
        self.is_over = True


class Link:
    """A connection through a proxy; a severed one has lost its server."""

    def __init__(self, client, server):
        self.client = client
        self.server = server
        self.holds = []
        self.is_severed = False

    def wait_while_held(self, is_answer):
        while any(hold.covers(is_answer) for hold in self.holds):
            time.sleep(0.02)


class Proxy:
    """A loopback TCP proxy. Modes: "pass", "slow" (150 ms per chunk), "silent" (nothing passes) and "one-way" (answers don't pass).

    hold() holds back some connections; what a client sent before it closed one is delivered later. sever() ends the connections of an incarnation of the
    target, with what is held back for it. reset() closes all its connections with RST. The target sees source_host, if given, as their peer. senders has,
    for the address of each connection to the target, the incarnation of the peer and when it last sent something.
    """

    def __init__(self, target, source_host=""):
        host, port = target.split(":")
        self.target = (host, int(port))
        self.source = (source_host, 0) if source_host else None
        self.mode = "pass"
        self.open_sockets = set()
        self.links = set()
        # Holds that cover new connections, too.
        self.lasting_holds = []
        self.senders = {}
        self.listen(0)

    def listen(self, incarnation):
        """Listens at another port, for an incarnation of the peer; what the one before has sent is still forwarded."""
        listener = socket.create_server(("127.0.0.1", 0), backlog=128)
        self.address = "127.0.0.1:%d" % listener.getsockname()[1]
        threading.Thread(target=self.accept_loop, args=(listener, incarnation), daemon=True).start()

    def accept_loop(self, listener, incarnation):
        while True:
            client, _ = listener.accept()
            try:
                server = socket.create_connection(self.target, 2, self.source)
            except OSError:
                client.close()
                continue
            self.open_sockets |= {client, server}
            link = Link(client, server)
            self.links.add(link)
            for hold in self.lasting_holds:
                hold.choose([link])
            threading.Thread(target=self.forward, args=(link, client, server, incarnation), daemon=True).start()
            threading.Thread(target=self.forward, args=(link, server, client, None), daemon=True).start()

    def hold(self, generator, direction, share, holds_new):
        """Holds back a share of the connections in the direction "requests", "answers" or "both", until the returned hold has ended."""
        hold = Hold(generator, direction, share)
        hold.choose(list(self.links))
        self.lasting_holds = [other for other in self.lasting_holds if not other.is_over] + ([hold] if holds_new else [])
        return hold

    def sever(self):
        for link in list(self.links):
            link.is_severed = True
            try:
                link.server.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The socket is already closed.
                pass

    def forward(self, link, source, sink, incarnation):
        is_answer = incarnation is None
        try:
            address = None if is_answer else sink.getsockname()
            while data := source.recv(65536):
                if not is_answer:
                    self.senders[address] = (incarnation, time.monotonic())
                while self.mode == "silent" or (self.mode == "one-way" and is_answer):
                    time.sleep(0.02)
                if self.mode == "slow":
                    time.sleep(0.15)
                link.wait_while_held(is_answer)
                if link.is_severed:
                    break
                sink.sendall(data)
        except OSError:
            # A fault reset the connection or the peer is gone; both sockets are shut down below.
            pass
        link.wait_while_held(is_answer)
        self.links.discard(link)
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
        # Uses its own loopback address with fixed ports: a free port chosen on 127.0.0.1 may be taken by an outgoing connection before it is used.
        self.host = loopback_address(number)
        self.proxy = Proxy(store.address, self.host)
        store.senders[self.host] = self.proxy.senders
        self.program = os.path.join(arguments.binaries, "mangocourse-scheduler")
        self.settings = os.path.join(directory, self.name + ".json")
        self.log = open(os.path.join(directory, self.name + ".log"), "ab")
        self.share = 0.5 if number < 4 else 0.12
        self.incarnation = 0
        self.unexpected_exits = []
        self.freezes = 0
        self.freeze_lock = threading.Lock()
        self.start()

    def write_settings(self):
        with open(self.settings + ".new", "w") as file:
            json.dump({"node": self.name, "zone": "z", "ip": self.host,
                       "listen": {"front": "%s:%d" % (self.host, FRONT_PORT), "ready": "%s:%d" % (self.host, READY_PORT)},
                       "port_range": [METRICS_PORT, METRICS_PORT], "limits": {"cpu_share": self.share, "cores": 1}, "bounds": BOUNDS,
                       "platform": {"address": self.proxy.address, "parts": PARTITION_COUNT, "min_ttl_ms": 1000}}, file)
        os.replace(self.settings + ".new", self.settings)

    def is_up(self):
        return self.child.poll() is None and not self.exit_expected

    def start(self):
        self.exit_expected = False
        self.incarnation += 1
        self.proxy.listen(self.incarnation)
        self.write_settings()
        self.child = subprocess.Popen([self.program], env=dict(os.environ, MANGOCOURSE_NODE_FILE=self.settings), stdout=self.log, stderr=self.log)

    def send_signal(self, number):
        self.exit_expected = self.exit_expected or number in (signal.SIGTERM, signal.SIGKILL)
        if self.child.poll() is None:
            self.child.send_signal(number)

    def freeze(self):
        """Stops the process until each freeze has been followed by a thaw()."""
        with self.freeze_lock:
            self.freezes += 1
            self.send_signal(signal.SIGSTOP)

    def thaw(self):
        with self.freeze_lock:
            self.freezes -= 1
            if self.freezes == 0:
                self.send_signal(signal.SIGCONT)

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

    # Set if the configuration has client accounts.
    accounts = None

    def __init__(self, number, seed, processes, checker, stop):
        super().__init__(daemon=True)
        self.number = number
        self.random = random.Random(seed * 1000 + number)
        self.processes = processes
        self.checker = checker
        self.stop = stop
        self.connections = {}
        self.lasting_jobs = []

    def call(self, method, path, body=None, timeout_s=2.0, process=None, key=None):
        """Sends a request to the process, or to a random one; returns the status and the body, or None if no answer arrived.

        With accounts it has the given key, or that of the job's account.
        """
        process = process or self.random.choice(self.processes)
        connection = self.connections.pop(process.host, None) or http.client.HTTPConnection(process.host, FRONT_PORT, timeout=timeout_s)
        headers = {"Content-Type": "application/json", "X-Deadline-Ms": str(int(timeout_s * 1000)), "Host": "soak"}
        if self.accounts:
            key = self.accounts.key_for(path) if key is None else key
            headers.update({"Authorization": "Bearer " + key} if key else {})
        try:
            connection.request(method, path, body, headers)
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
        body = self.register(prefix, job, steps)
        for _ in range(4):
            if self.attempt(job, prefix, body, self.random.choice(self.processes)) == 200:
                break
            time.sleep(self.random.uniform(0.05, 0.5))
        self.checker.submission_ended(job)

    def register(self, prefix, job, steps):
        """Records what a job is and returns the body that submits it."""
        with self.checker.lock:
            record = self.checker.jobs.setdefault(job, {})
            record.update(submitted=True, prefix=prefix, steps=steps, is_lasting="long_running" in steps[0], attempts=[])
        return json.dumps({"spec": "work", "steps": steps})

    def attempt(self, job, prefix, body, process, timeout_s=2.0):
        """Submits the job once and returns the status, or None if no answer arrived."""
        attempt = {"sent_at": time.monotonic(), "process": process.name, "host": process.host, "status": "open"}
        with self.checker.lock:
            self.checker.jobs[job]["attempts"].append(attempt)
        answer = self.call("POST", prefix + job, body, timeout_s, process)
        status = answer and answer[0]
        if status == 200:
            self.checker.jobs[job]["accepted"] = True
        self.checker.attempt_ended(job, attempt, status, process.incarnation)
        return status

    def cancel(self, prefix, job, attempts=1):
        self.checker.jobs[job]["cancel_sent"] = True
        for _ in range(attempts):
            answer = self.call("DELETE", prefix + job)
            if answer and answer[0] == 200:
                with self.checker.lock:
                    self.checker.jobs[job]["cancelled"] = time.monotonic()
                return
            if answer and answer[0] == 410 and self.checker.jobs[job].get("accepted"):
                self.checker.report_violation("LOST: %s was accepted, and its cancellation says that no such job exists" % job)
        # Without a 200 the cancellation may or may not have been recorded.
        self.checker.jobs[job]["unsure"] = True


class LargeJobCaller(Caller):
    """Submits jobs of many tiny items, one after the other, each for one executor, which then has more ends than it lists at once."""

    ITEMS = (700, 1200)
    PAUSE_S = (1.0, 3.0)
    # By service.
    executor_names = {}

    def run(self):
        count = 0
        while not self.stop.is_set():
            count += 1
            prefix = self.random.choice(list(SERVICE_BY_PREFIX))
            job = "%06x%010x" % (self.number, count)
            executor = self.random.choice(self.executor_names[SERVICE_BY_PREFIX[prefix]])
            step = {"count": self.random.randint(*self.ITEMS), "cpu": 10, "mem_mb": 1, "estimate_ms": 2000, "requires": executor}
            self.submit(prefix, job, [step, {"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 500, "depends_on": [0]}])
            self.stop.wait(self.random.uniform(*self.PAUSE_S))
            if self.random.random() < 0.1:
                self.cancel(prefix, job)


class RepeatingCaller(Caller):
    """Submits small jobs and repeats them as impatient clients do: at the same process or at others, one by one or several at once."""

    def run(self):
        count = 0
        while not self.stop.is_set():
            count += 1
            prefix = self.random.choice(list(SERVICE_BY_PREFIX))
            job = "%06x%010x" % (self.number, count)
            self.submit(prefix, job, [{"count": 1, "cpu": 500, "mem_mb": 100, "estimate_ms": 500}])
            if self.random.random() < 0.1:
                self.cancel(prefix, job, self.random.randint(1, 4))
            time.sleep(self.random.uniform(0.0, 0.3))

    def submit(self, prefix, job, steps):
        body = self.register(prefix, job, steps)
        same_process_share = self.random.choice([0.0, 0.5, 1.0])
        width = self.random.choice([1, 1, 1, 2, 3])
        timeout_s = self.random.choice([0.4, 1.0, 2.0, 3.0])
        longest_pause_s = self.random.choice([0.0, 0.1, 0.6])
        process = self.random.choice(self.processes)
        for _ in range(self.random.randint(1, 7)):
            targets = []
            for _ in range(width):
                process = process if self.random.random() < same_process_share else self.random.choice(self.processes)
                targets.append(process)
            with ThreadPoolExecutor(width) as threads:
                statuses = list(threads.map(lambda target: self.attempt(job, prefix, body, target, timeout_s), targets))
            if 200 in statuses or self.stop.is_set():
                break
            time.sleep(self.random.uniform(0.0, longest_pause_s))
        self.checker.submission_ended(job)
