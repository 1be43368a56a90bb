"""Stand-ins for the platform's record store and executors, used by the fault soak.

Both implement the platform's published HTTP calls on loopback addresses and don't depend on the scheduler. The store keeps keyed streams,
producer epochs and consumer groups. An executor keeps a lease on its own clock, the highest fencing token and the run numbers. The fault soak
injects faults by setting fields of these objects.
"""
import base64
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from faults import FaultyService

MAX_LEASE_S = 6.0
MAX_STOP_DELAY_S = 0.2
CAPACITY = {"cpu": 16000, "mem_mb": 64000}
MAX_CLOCK_START_MS = 9_000_000
# Run times of finite and of lasting items, and the longest delay of an order that is carried out late.
FINITE_RUN_S = (0.1, 0.8)
# Items with so little CPU come by the hundred. Their runs outlast a takeover, so that more of them end than an executor lists at once.
TINY_CPU = 10
TINY_RUN_S = (1.5, 2.5)
LASTING_RUN_S = (4.0, 30.0)
MAX_ORDER_DELAY_S = 3.5
# Longest time after a restart at which a call to the boot before is carried out.
MAX_STRAY_DELAY_S = 0.7
# A producer's repeat of one of so many last appends gets its first answer again.
REMEMBERED_APPENDS = 5


class Handler(BaseHTTPRequestHandler):
    """Passes each call to the stand-in behind the server; closes the connection without a response if it returns None."""

    protocol_version = "HTTP/1.1"

    def setup(self):
        super().setup()
        self.source = self.client_address[0]
        self.connected_at = time.monotonic()

    def log_message(self, *_):
        pass

    def handle_call(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        answer = self.server.stand_in.respond(url.path, query, body, self)
        if answer is None:
            self.close_connection = True
            return
        status, content = answer
        if not isinstance(content, bytes):
            content = json.dumps(content).encode()
        self.send_response(status)
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = do_POST = handle_call

    def handle(self):
        try:
            super().handle()
        except OSError:
            # The soak killed the peer or reset its connection.
            self.close_connection = True


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128


def serve(stand_in):
    """Starts a server on an ephemeral loopback port and returns its address."""
    server = Server(("127.0.0.1", 0), Handler)
    server.stand_in = stand_in
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.2}, daemon=True).start()
    return "127.0.0.1:%d" % server.server_address[1]


class Store(FaultyService):
    """The platform's log: partitioned topics with keyed records, idempotent producers and consumer groups."""

    def __init__(self, partition_count, checker):
        super().__init__()
        self.checker = checker
        # For each process's host, which incarnation last sent something on the connection of an address, and when, as its proxy saw it.
        self.senders = {}
        self.partition_count = partition_count
        self.log_changed = threading.Condition()
        self.logs = {}
        self.producers = {}
        self.groups = {}
        # "none", "refuse" (every call gets 503) or "lose-answers" (the call is carried out; its answer is dropped with probability 0.4).
        self.fault_mode = "none"
        self.address = serve(self)

    def respond(self, path, query, body, call):
        sender = self.senders.get(call.source, {}).get(call.client_address, (0, time.monotonic()))
        subject = self.describe_append(query, body) if path == "/log-append" else ""
        if self.fault_mode == "refuse":
            self.add_trace(call.source, path, "refused with 503", subject)
            return 503, {}
        handler = {"/log-append": lambda query, body: self.append(query, body, call, sender), "/log-read": self.read, "/log-newest": self.newest,
                   "/log-join": self.join, "/log-commit": self.commit, "/log-leave": self.leave, "/log-owners": self.owners}.get(path)
        if handler is None:
            return 404, {}
        answer = self.respond_under_faults(call, path, subject, lambda: handler(query, body))
        if self.fault_mode == "lose-answers" and random.random() < 0.4:
            self.add_trace(call.source, path, "answer lost", subject)
            return None
        return answer

    def describe_append(self, query, body):
        keys = [record[1:1 + record[0]].decode(errors="replace") for record in self.split_records(body)]
        return "%s/%s: %s" % (query["topic"], query["part"], " ".join(keys[:20]))

    @staticmethod
    def split_records(body):
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + size])
            body = body[4 + size:]
        return records

    def append(self, query, body, call, sender):
        partition_key = (query["topic"], int(query["part"]))
        time.sleep(0.004)
        with self.log_changed:
            log = self.logs.setdefault(partition_key, [])
            if "at" in query and int(query["at"]) != len(log):
                return 412, {"end": len(log)}
            producer = self.producers.setdefault(partition_key + (query["producer"],), {"epoch": -1}) if "producer" in query else None
            if producer is not None:
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                if epoch < producer["epoch"]:
                    return 409, {"reason": "fenced"}
                if epoch > producer["epoch"]:
                    producer.update(epoch=epoch, next=None, answers={})
                if body and sequence in producer["answers"]:
                    return producer["answers"][sequence]
                if body and producer["next"] not in (None, sequence):
                    return 409, {"reason": "seq", "sequence": producer["next"]}
            records = self.split_records(body)
            answer = 200, {"offset": len(log), "end": len(log) + len(records)}
            if producer is not None and body:
                producer["next"] = sequence + 1
                producer["answers"][sequence] = answer
                producer["answers"].pop(sequence - REMEMBERED_APPENDS, None)
            log.extend(records)
            self.log_changed.notify_all()
        if query["topic"] == "keyed.jobs":
            for record in records:
                key, value = record[1:1 + record[0]].decode(), record[1 + record[0]:]
                self.add_trace(call.source, "/log-append", "stored" if value else "dropped", key)
                if value:
                    self.checker.record_stored(key, call.source, *sender)
        return answer

    def append_record(self, topic, key, value):
        """Appends a record to partition 0 of a topic, on behalf of the operator or of an executor; None drops the key."""
        record = bytes([len(key)]) + key.encode() + (b"" if value is None else json.dumps(value).encode())
        with self.log_changed:
            self.logs.setdefault((topic, 0), []).append(record)
            self.log_changed.notify_all()

    def read(self, query, _body):
        partition_key, start = (query["topic"], int(query["part"])), int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.log_changed:
            while len(self.logs.get(partition_key, [])) <= start and time.monotonic() < deadline:
                self.log_changed.wait(max(0.0, deadline - time.monotonic()))
            log = self.logs.get(partition_key, [])
            head = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
            return 200, head + b"".join(len(record).to_bytes(4, "big") + record for record in log[start:])

    def newest(self, query, _body):
        partition_key = (query["topic"], int(query["part"]))
        with self.log_changed:
            log = self.logs.get(partition_key, [])
            latest = {}
            for offset, record in enumerate(log):
                key = record[1:1 + record[0]].decode()
                latest[key] = (record[1 + record[0]:], offset)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset} for key, (value, offset) in sorted(latest.items()) if value]
            return 200, {"items": items, "more": False, "end": len(log)}

    def get_group(self, name):
        return self.groups.setdefault(name, {"generation": 0, "members": {}, "topics": [], "owner": {}, "held_since": {}})

    def assign_partitions(self, group):
        """Distributes the partitions evenly over the members; a partition keeps its owner if that owner is below its share."""
        members = sorted(group["members"])
        group["generation"] += 1
        partitions = [(topic, part) for topic in group["topics"] for part in range(self.partition_count)]
        max_per_member = -(-len(partitions) // len(members)) if members else 0
        load = dict.fromkeys(members, 0)
        assignment = {}
        for partition in partitions:
            member = group["owner"].get(partition)
            if member in load and load[member] < max_per_member:
                assignment[partition] = member
                load[member] += 1
        for partition in partitions:
            if partition not in assignment and members:
                member = min(members, key=lambda candidate: load[candidate])
                assignment[partition] = member
                load[member] += 1
        for partition, member in assignment.items():
            if group["owner"].get(partition) != member:
                group["held_since"][partition] = group["generation"]
        group["owner"] = assignment

    def deal_anew(self):
        """Gives each partition of each group to another member at once."""
        with self.log_changed:
            for group in self.groups.values():
                members = sorted(group["members"])
                successors = dict(zip(members, members[1:] + members[:1]))
                group["owner"] = {partition: successors.get(member, member) for partition, member in group["owner"].items()}
                group["generation"] += 1

    def remove_expired_members(self, group):
        expired = [member for member, until in group["members"].items() if until < time.monotonic()]
        for member in expired:
            del group["members"][member]
        return bool(expired)

    def join(self, _query, body):
        request = json.loads(body)
        with self.log_changed:
            group = self.get_group(request["group"])
            changed = self.remove_expired_members(group) or request["member"] not in group["members"]
            group["members"][request["member"]] = time.monotonic() + request["ttl_ms"] / 1000
            group["topics"] = request["topics"]
            if changed:
                self.assign_partitions(group)
            parts = [[topic, part, 0] for (topic, part), member in sorted(group["owner"].items()) if member == request["member"]]
            return 200, {"generation": group["generation"], "parts": parts}

    def commit(self, _query, body):
        """Answers whether the member has held the partition since the generation; offsets are not kept."""
        request = json.loads(body)
        with self.log_changed:
            group = self.get_group(request["group"])
            partition = (request["topic"], request["part"])
            is_holder = group["owner"].get(partition) == request["member"]
            return (200 if is_holder and request["generation"] >= group["held_since"].get(partition, 0) else 409), {}

    def leave(self, _query, body):
        request = json.loads(body)
        with self.log_changed:
            group = self.get_group(request["group"])
            if group["members"].pop(request["member"], None) is not None:
                self.assign_partitions(group)
        return 200, {}

    def owners(self, query, _body):
        with self.log_changed:
            group = self.get_group(query["group"])
            if self.remove_expired_members(group):
                self.assign_partitions(group)
            return 200, {"parts": [[topic, part, member, 0] for (topic, part), member in group["owner"].items()]}


class Executor(FaultyService):
    """A machine that runs work items; a restart resets its clock, fencing token, lease and run numbers."""

    def __init__(self, name, service, store, checker):
        super().__init__()
        self.name = name
        self.service = service
        self.store = store
        self.checker = checker
        self.lock = threading.Condition()
        # Schedulers use the advertised address; the soak sets it to that of a proxy.
        self.address = serve(self)
        self.advertised_address = self.address
        # While false, the store has no entry of this executor.
        self.is_listed = True
        # Statuses, one of which answers each call of an unhealthy executor.
        self.unhealthy_statuses = []
        # "none", "lose-answers" (an order is carried out without an answer) or "late" (so too, and seconds after it came).
        self.order_fault = "none"
        # Calls that come while the executor is down are carried out by its next boot, without an answer.
        self.keeps_calls = False
        # Ends the connections to an incarnation that crashes.
        self.sever_connections = lambda: None
        self.finite_run_s = FINITE_RUN_S
        self.is_up = False
        self.restart()
        threading.Thread(target=self.update_loop, daemon=True).start()

    def restart(self):
        if self.is_up:
            self.crash()
        with self.lock:
            self.boot_id = int(time.time() * 1000)
            self.boot_time = time.monotonic()
            self.clock_rate = random.choice([1.0, 0.985])
            # The clock of each boot starts at a value of its own.
            self.clock_start_ms = 1000 + self.boot_id * 7919 % MAX_CLOCK_START_MS
            self.token = 0
            self.ended_runs = []
            # By the number of the end.
            self.end_times = {}
            self.last_end_sequence = 0
            self.last_end_before_lapse = 0
            self.running = {}
            self.highest_run = {}
            self.lease_until = 0
            self.is_up = True
            self.checker.clear_executor(self.name)
            self.lock.notify_all()

    def crash(self):
        with self.lock:
            self.is_up = False
            self.running = {}
            self.checker.clear_executor(self.name)
        self.sever_connections()

    def clock_ms(self):
        return int((time.monotonic() - self.boot_time) * 1000 * self.clock_rate) + self.clock_start_ms

    def update_loop(self):
        """Ends runs that are over or whose lease has expired, and writes a report to the store about once a second."""
        last_report = 0.0
        while True:
            time.sleep(0.02)
            with self.lock:
                if self.is_up and self.is_listed and time.monotonic() - last_report > 1.0 and self.store.fault_mode == "none":
                    last_report = time.monotonic()
                    self.store.append_record("keyed.servers", self.name, {
                        "service": self.service, "address": self.advertised_address, "zone": "z", "state": "ready", "born": self.boot_id,
                        "machine": "m-" + self.name, "sequence": int(last_report), "capacity": CAPACITY, "labels": ["a", "rack-1", self.name]})
                is_lapsed = self.lease_until < self.clock_ms()
                if is_lapsed:
                    self.last_end_before_lapse = self.last_end_sequence
                ended_items = [item for item, work in self.running.items() if is_lapsed or work["until"] <= time.monotonic()]
                for item in ended_items:
                    self.end_run(item, "lapsed" if is_lapsed else self.running[item]["outcome"])

    def end_run(self, item, outcome):
        work = self.running.pop(item)
        self.highest_run[item] = max(self.highest_run.get(item, 0), work["run"])
        self.last_end_sequence += 1
        self.end_times[self.last_end_sequence] = time.monotonic()
        self.ended_runs.append([self.last_end_sequence, item, work["run"], outcome, ""])
        self.checker.run_ended(item, self.name, work["run"], outcome)
        self.lock.notify_all()

    def extend_lease(self, until):
        self.lease_until = max(self.lease_until, min(until, self.clock_ms() + int(MAX_LEASE_S * 1000)))

    def unlist(self):
        with self.lock:
            self.is_listed = False
            self.store.append_record("keyed.servers", self.name, None)

    def list_again(self):
        with self.lock:
            self.is_listed = True

    def compute_free(self):
        """Returns the capacity that no run holds; what is being stopped still holds its share."""
        with self.lock:
            return {name: amount - sum(work["demand"][name] for work in self.running.values()) for name, amount in CAPACITY.items()}

    def is_sound(self):
        return self.is_up and self.is_listed and not self.unhealthy_statuses and self.order_fault == "none" and not self.faults and self.late_calls == 0

    def carry_out_by_next_boot(self, path, request):
        with self.lock:
            while not self.is_up:
                self.lock.wait(0.1)
        time.sleep(random.uniform(0.0, MAX_STRAY_DELAY_S))
        if self.is_up:
            self.add_trace("", path, "carried out by the next boot", "%s %s run %s acknowledged %s" % (
                self.name, request.get("task", ""), request.get("run", ""), request.get("last_seen", "")))
            self.carry_out(path, request)

    def respond(self, path, _query, body, call):
        if not self.is_up and self.keeps_calls:
            self.carry_out_by_next_boot(path, json.loads(body))
            return None
        if not self.is_up:
            return None
        if self.unhealthy_statuses:
            return random.choice(self.unhealthy_statuses), b""
        request = json.loads(body)
        boot_id = self.boot_id

        def carry_out():
            return self.carry_out(path, request) if self.is_up and self.boot_id == boot_id else None

        fault = self.order_fault if path in ("/run-start", "/run-stop") else "none"
        if fault == "late":
            with self.late_lock:
                self.late_calls += 1
            delay_s = random.uniform(1.0, MAX_ORDER_DELAY_S)
            threading.Thread(target=self.carry_out_late, args=(delay_s, carry_out), daemon=True).start()
            return None
        subject = "%s %s run %s" % (self.name, request.get("task", ""), request.get("run", ""))
        answer = self.respond_under_faults(call, path, subject, carry_out)
        return None if fault == "lose-answers" else answer

    def carry_out(self, path, request):
        with self.lock:
            if not self.is_up:
                return None
            if request.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock_ms(), "reason": "fence"}
            self.token = request.get("fencing_token", 0)
            call = {"/run-start": self.run_start, "/run-stop": self.run_stop, "/hold": self.renew_and_poll}.get(path)
            return call(request) if call else (404, {})

    def run_start(self, request):
        item, run = request["task"], request["run"]
        clock_field = {"clock_ms": self.clock_ms()}
        if item in self.running and self.running[item]["run"] == run:
            self.extend_lease(request["until_ms"])
            return 200, clock_field
        if item in self.running or run <= self.highest_run.get(item, 0):
            return 409, dict(clock_field, reason="old")
        if request["until_ms"] <= self.clock_ms():
            return 409, dict(clock_field, reason="late")
        demand, is_lasting = self.checker.describe(item)
        self.extend_lease(request["until_ms"])
        free = self.compute_free()
        if any(demand[name] > free[name] for name in CAPACITY):
            return 409, dict(clock_field, reason="room")
        is_tiny = demand["cpu"] <= TINY_CPU
        outcome = "failed" if is_lasting or (not is_tiny and random.random() < 0.05) else "done"
        run_s = TINY_RUN_S if is_tiny else LASTING_RUN_S if is_lasting else self.finite_run_s
        self.running[item] = {"run": run, "until": time.monotonic() + random.uniform(*run_s),
                              "outcome": outcome, "demand": demand}
        self.checker.run_started(item, self.name, run)
        return 200, clock_field

    def run_stop(self, request):
        item = request["task"]
        self.highest_run[item] = max(self.highest_run.get(item, 0), request["run"])
        if item in self.running and self.running[item]["run"] <= request["run"]:
            self.running[item].update(until=time.monotonic() + random.uniform(0, MAX_STOP_DELAY_S), outcome="stopped")
        return 200, {"clock_ms": self.clock_ms()}

    def renew_and_poll(self, request):
        if "until_ms" in request:
            self.extend_lease(request["until_ms"])
        last_acknowledged = request.get("last_seen", 0)
        for end in [end for end in self.ended_runs if end[0] <= last_acknowledged]:
            self.checker.end_acknowledged(end[1], end[3], is_noted=end[0] > self.last_end_before_lapse, ended_at=self.end_times.pop(end[0]))
            self.ended_runs.remove(end)
        deadline = time.monotonic() + request.get("wait_ms", 0) / 1000
        boot_id = self.boot_id
        while not self.ended_runs and time.monotonic() < deadline and self.boot_id == boot_id and self.is_up:
            self.lock.wait(deadline - time.monotonic())
        if self.boot_id != boot_id or not self.is_up:
            return None
        running = [[item, work["run"], "", 100, 0] for item, work in self.running.items()]
        return 200, {"clock_ms": self.clock_ms(), "born": self.boot_id, "running": running, "ended_runs": self.ended_runs[:500]}
