"""Stand-ins for the users' platform: its store, its executors, its process supervisor and its clients.

One event loop serves all of them on free loopback ports. They follow PROTOCOL.md; what a page leaves open is done as a sound server would do it.
Faults are set by fields of the objects; with none set, everything is healthy.
"""
import asyncio
import base64
import json
import os
import secrets
import signal
import socket
import tempfile
import time
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "bin", "mangocourse-scheduler")
PARTS = 8
MAX_HOLD_MS = 6000
STOP_MS = 200
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6,
          "loss_slack_ms": 200, "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recover_s": 12, "max_hold_ms": MAX_HOLD_MS,
          "stop_ms": STOP_MS, "gang_ms": 3000, "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120,
          "cross_rack_factor": 3, "checkpoint_s": 0.5, "restore_ms": 600, "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2, "enforce_fencing": True,
          "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100, "harm_ms": 4000}


class Record:
    """Writes lines with the time since the start to record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, text):
        self.file.write("%8.3f %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


async def read_message(reader):
    """Returns the first line, the headers and the body of an HTTP message, or None at the end of the connection."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


def encode_answer(status, content):
    body = content if isinstance(content, bytes) else json.dumps(content, separators=(",", ":")).encode()
    return b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(body)) + body


async def serve(handler):
    """Serves HTTP on a free loopback port and returns the address."""
    server, _ = await start_server(handler, 0)
    return "127.0.0.1:%d" % server.sockets[0].getsockname()[1]


async def start_server(handler, port):
    """Serves HTTP on a loopback port, a free one for 0. Returns the server and the set of its open connections. handler(method, path, query, headers, body) returns a status and a content, or None
    for a call that gets no answer: its connection returns nothing further."""
    writers = set()

    async def handle(reader, writer):
        writers.add(writer)
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, target, _ = first.split(" ", 2)
                url = urlsplit(target)
                query = {key: values[0] for key, values in parse_qs(url.query, keep_blank_values=True).items()}
                answer = await handler(method, url.path, query, headers, body)
                if answer is None:
                    await reader.read()
                    break
                writer.write(encode_answer(*answer))
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError):
            # The peer is gone, or the case is over.
            pass
        finally:
            writers.discard(writer)
            writer.close()
    server = await asyncio.start_server(handle, "127.0.0.1", port, backlog=512, limit=8 * 1024 * 1024)
    return server, writers


class Store:
    """The platform's log. Each process has an address of its own, so that the store can turn single processes away."""

    def __init__(self, record):
        self.record = record
        self.logs = {}
        self.producers = {}
        self.groups = {}
        self.changed = asyncio.Event()
        # Names of the processes that get 503 until the given time of the record.
        self.refused_until = {}
        # Called with (process name, topic, part, keys) after an append, and with (process name, group, partitions) at a join.
        self.on_append = lambda name, topic, part, keys: None
        self.on_join = lambda name, group, parts: None

    async def open_for(self, name):
        async def handler(method, path, query, headers, body):
            if self.record.now() < self.refused_until.get(name, 0):
                return 503, {}
            return await self.respond(name, path, query, body)
        return await serve(handler)

    async def respond(self, name, path, query, body):
        if path == "/log-append":
            await asyncio.sleep(0.004)
            return self.append(name, query, body)
        if path == "/log-read":
            return await self.read(query)
        await asyncio.sleep(0.002)
        if path == "/log-newest":
            return self.newest(query)
        if path == "/log-trim":
            return 200, {}
        request = json.loads(body) if body else {}
        if path == "/log-join":
            return self.join(name, request)
        if path == "/log-leave":
            self.leave(request)
            return 200, {}
        if path == "/log-commit":
            return 200, {}
        if path == "/log-owners":
            group = self.group(query["group"])
            self.expire(group)
            return 200, {"parts": [[topic, part, member, 0] for (topic, part), member in sorted(group["owner"].items())]}
        return 404, {}

    @staticmethod
    def split(body):
        records = []
        at = 0
        while at < len(body):
            size = int.from_bytes(body[at:at + 4], "big")
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
        return records

    def notify(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def append(self, name, query, body):
        key = (query["topic"], int(query["part"]))
        log = self.logs.setdefault(key, [])
        if "at" in query and int(query["at"]) != len(log):
            return 412, {"end": len(log)}
        producer = None
        if "producer" in query:
            epoch, sequence = int(query.get("epoch", 0)), int(query.get("sequence", 0))
            producer = self.producers.setdefault(key + (query["producer"],), {"epoch": -1, "next": None, "answers": {}})
            if epoch < producer["epoch"]:
                return 409, {"reason": "fenced"}
            if epoch > producer["epoch"]:
                producer.update(epoch=epoch, next=None, answers={})
            if body and sequence in producer["answers"]:
                return producer["answers"][sequence]
            if body and producer["next"] not in (None, sequence):
                return 409, {"reason": "seq", "sequence": producer["next"]}
        records = self.split(body)
        answer = 200, {"offset": len(log), "end": len(log) + len(records)}
        if producer is not None and body:
            producer["next"] = sequence + 1
            producer["answers"][sequence] = answer
            producer["answers"].pop(sequence - 5, None)
        log.extend(records)
        keys = [record[1:1 + record[0]].decode(errors="replace") for record in records] if key[0].startswith("keyed.") else []
        self.on_append(name, key[0], key[1], keys)
        self.notify()
        return answer

    def put(self, topic, key, value):
        """Writes a record for the operator or an executor."""
        self.logs.setdefault((topic, 0), []).append(bytes([len(key)]) + key.encode() + (b"" if value is None else json.dumps(value).encode()))
        self.notify()

    async def read(self, query):
        key, start = (query["topic"], int(query["part"])), int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(self.logs.get(key, [])) <= start:
            remaining = deadline - time.monotonic()
            if remaining <= 0:
                break
            try:
                await asyncio.wait_for(self.changed.wait(), remaining)
            except asyncio.TimeoutError:
                break
        log = self.logs.get(key, [])
        parts, size = [], 0
        for record in log[start:]:
            if parts and size + len(record) > int(query.get("max_kb", 1024)) * 1024:
                break
            parts.append(len(record).to_bytes(4, "big") + record)
            size += len(record) + 4
        return 200, len(log).to_bytes(8, "big") + (0).to_bytes(8, "big") + b"".join(parts)

    def newest(self, query):
        log = self.logs.get((query["topic"], int(query["part"])), [])
        latest = {}
        for offset, record in enumerate(log):
            latest[record[1:1 + record[0]].decode()] = (record[1 + record[0]:], offset)
        rows = sorted((key, value, offset) for key, (value, offset) in latest.items() if value and key > query.get("depends_on", ""))
        items, size = [], 0
        for key, value, offset in rows:
            if items and (len(items) >= 500 or size + len(value) > 1000000):
                return 200, {"items": items, "more": True, "end": len(log)}
            items.append({"key": key, "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return 200, {"items": items, "more": False, "end": len(log)}

    def group(self, name):
        return self.groups.setdefault(name, {"generation": 0, "members": {}, "topics": [], "owner": {}})

    def expire(self, group):
        over = [member for member, (until, _) in group["members"].items() if until < time.monotonic()]
        for member in over:
            del group["members"][member]
        if over:
            self.deal(group)

    @staticmethod
    def deal(group):
        """Deals the partitions evenly; each stays where it is while its member is below its share."""
        group["generation"] += 1
        members = sorted(group["members"])
        partitions = [(topic, part) for topic in group["topics"] for part in range(PARTS)]
        owner = {}
        if members:
            most = -(-len(partitions) // len(members))
            load = dict.fromkeys(members, 0)
            for partition in partitions:
                member = group["owner"].get(partition)
                if member in load and load[member] < most:
                    owner[partition] = member
                    load[member] += 1
            for partition in partitions:
                if partition not in owner:
                    member = min(members, key=lambda candidate: load[candidate])
                    owner[partition] = member
                    load[member] += 1
        group["owner"] = owner

    def join(self, name, request):
        group = self.group(request["group"])
        self.expire(group)
        ttl = request["ttl_ms"] / 1000
        is_new = request["member"] not in group["members"]
        group["members"][request["member"]] = (time.monotonic() + ttl, ttl)
        group["topics"] = request["topics"]
        if is_new:
            self.deal(group)
        parts = [[topic, part, 0] for (topic, part), member in sorted(group["owner"].items()) if member == request["member"]]
        self.on_join(name, request["group"], parts)
        return 200, {"generation": group["generation"], "parts": parts}

    def leave(self, request):
        group = self.group(request["group"])
        if group["members"].pop(request["member"], None) is not None:
            self.deal(group)


class Executor:
    """One executor. duration(item) tells how long a work item runs here, in seconds; rate is the speed of its steady clock (0.98 to 1)."""

    def __init__(self, name, service, store, record, capacity, labels, duration, demand, rate=1.0):
        self.name, self.service, self.store, self.record = name, service, store, record
        self.capacity, self.labels, self.duration, self.demand, self.rate = capacity, labels, duration, demand, rate
        self.born = int(time.time() * 1000)
        self.boot = time.monotonic()
        self.token = 0
        self.lease = 0
        self.running = {}
        self.highest = {}
        self.ends = []
        self.end_count = 0
        self.sequence = 0
        self.changed = asyncio.Event()
        self.is_verbose = True
        self.port = 0
        # Work items whose next run here fails by its own fault.
        self.fails = set()
        self.started = 0
        self.on_start = lambda executor, item, run: None
        self.on_end = lambda executor, item, run, how: None
        # Called with (executor, row of the end, time of the end) when last_seen reaches an end.
        self.on_acknowledged = lambda executor, end, ended_at: None
        self.ended_at = {}
        # When the lease was last seen to have expired, by the record's time.
        self.lapsed_at = -1.0

    def clock(self):
        return int((time.monotonic() - self.boot) * 1000 * self.rate) + 1000

    async def listen(self):
        self.server, self.writers = await start_server(self.respond, self.port)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "127.0.0.1:%d" % self.port

    async def open(self):
        await self.listen()
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch())]

    async def beat(self):
        while True:
            self.sequence += 1
            self.store.put("keyed.servers", self.name, {
                "service": self.service, "address": self.address, "zone": "zone-a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born, "machine": "m-" + self.name, "capacity": self.capacity, "labels": self.labels})
            await asyncio.sleep(1.5)

    async def watch(self):
        """Ends what runs when its lease has expired."""
        while True:
            await asyncio.sleep(0.005)
            if self.lease < self.clock():
                self.lapsed_at = self.record.now()
                for item in list(self.running):
                    self.end(item, self.running[item]["run"], "lapsed")

    def end(self, item, run, how):
        work = self.running.get(item)
        if work is None or work["run"] != run:
            return
        work["timer"].cancel()
        del self.running[item]
        self.highest[item] = max(self.highest.get(item, 0), run)
        self.end_count += 1
        self.ends.append([self.end_count, item, run, how, ""])
        self.ended_at[self.end_count] = self.record.now()
        if self.is_verbose:
            self.record.line("%s: %s run %d ends %s" % (self.name, item, run, how))
        self.on_end(self, item, run, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + MAX_HOLD_MS))

    async def respond(self, method, path, query, headers, body):
        if method == "GET":
            return 200, b""
        if headers.get("x-expect-instance", self.name) != self.name:
            return 421, {"clock_ms": self.clock()}
        request = json.loads(body)
        if request.get("fencing_token", 0) < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = request.get("fencing_token", 0)
        if path == "/run-start":
            return self.start(request)
        if path == "/run-stop":
            return self.stop(request)
        if path == "/pace":
            return 200, {"clock_ms": self.clock()}
        if path == "/hold":
            return await self.hold(request)
        return 404, {}

    def start(self, request):
        item, run = request["task"], request["run"]
        clock = {"clock_ms": self.clock()}
        if item in self.running and self.running[item]["run"] == run:
            self.extend(request["until_ms"])
            return 200, clock
        self.extend(request["until_ms"])
        if item in self.running or run <= self.highest.get(item, 0):
            return 409, dict(clock, reason="old")
        if request["until_ms"] <= self.clock():
            return 409, dict(clock, reason="late")
        need = self.demand(item)
        for name in ("cpu", "mem_mb", "gpu"):
            if need.get(name, 0) + sum(work["need"].get(name, 0) for work in self.running.values()) > self.capacity.get(name, 0):
                return 409, dict(clock, reason="room")
        how = "failed" if item in self.fails else "done"
        self.fails.discard(item)
        timer = asyncio.get_running_loop().call_later(self.duration(item), self.end, item, run, how)
        self.running[item] = {"run": run, "need": need, "timer": timer}
        self.started += 1
        if self.is_verbose:
            self.record.line("%s: %s run %d starts, token %d, until %d, clock %d" % (
                self.name, item, run, request["fencing_token"], request["until_ms"], self.clock()))
        self.on_start(self, item, run)
        return 200, clock

    def stop(self, request):
        item, run = request["task"], request["run"]
        self.highest[item] = max(self.highest.get(item, 0), run)
        work = self.running.get(item)
        if work is not None and work["run"] <= run:
            asyncio.get_running_loop().call_later(0.05, self.end, item, work["run"], "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, request):
        if "until_ms" in request:
            self.extend(request["until_ms"])
        seen = request.get("last_seen", 0)
        for end in self.ends:
            if end[0] <= seen:
                self.on_acknowledged(self, end, self.ended_at.pop(end[0]))
        self.ends = [end for end in self.ends if end[0] > seen]
        if not self.ends and request.get("wait_ms"):
            try:
                await asyncio.wait_for(self.changed.wait(), request["wait_ms"] / 1000)
            except asyncio.TimeoutError:
                pass
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": [[item, work["run"], "", 100, work["need"].get("cpu", 0)]
                                                                             for item, work in self.running.items()], "ended_runs": self.ends[:500]}


class Process:
    """One process of the system and its supervisor, which starts it again after it has ended and kills it when it exceeds its memory."""

    def __init__(self, name, store_address, directory, record, memory_mb=260, cpu_share=0.25):
        self.name, self.record, self.memory_mb = name, record, memory_mb
        self.settings = os.path.join(directory, name + ".json")
        self.log = open(os.path.join(directory, name + ".log"), "ab")
        self.child = None
        self.is_closing = False
        self.over_memory = []
        self.own_exits = []
        self.peak_mb = 0
        self.expected = False
        front, ready, control, peers = (free_port() for _ in range(4))
        self.front = ("127.0.0.1", front)
        with open(self.settings, "w") as file:
            json.dump({"node": name, "role": "scheduler", "machine_class": "front", "serves": ["front"], "ip": "127.0.0.1", "zone": "zone-a",
                       "region": "region-a", "zones": {"zone-a": "region-a"},
                       "listen": {"front": "127.0.0.1:%d" % front, "ready": "127.0.0.1:%d" % ready, "control": "127.0.0.1:%d" % control},
                       "port_range": [peers, peers], "seeds": [], "bootstrap": True, "counts_as_loss": False,
                       "limits": {"cpu_share": cpu_share, "cores": 1, "memory_mb": memory_mb, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0},
                       "data_dir": None, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
                       "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"],
                       "tolerate": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS, "orders": "request",
                       "platform": {"address": store_address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": PARTS, "append_ms": 4.0,
                                    "part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": 262144, "request_bytes": 2097152, "keep_s": 300,
                                    "part_mb": 200, "min_ttl_ms": 1000}}, file)

    async def open(self):
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MANGOCOURSE_NODE_FILE"] = self.settings
        self.expected = False
        self.child = await asyncio.create_subprocess_exec(PROGRAM, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log)
        self.record.line("%s: started, process %d" % (self.name, self.child.pid))

    def resident_mb(self):
        try:
            with open("/proc/%d/statm" % self.child.pid) as file:
                return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE") / 1048576
        except (OSError, IndexError):
            return 0

    async def supervise(self):
        while not self.is_closing:
            await asyncio.sleep(0.01)
            resident = self.resident_mb()
            self.peak_mb = max(self.peak_mb, resident)
            if resident > self.memory_mb and self.child.returncode is None:
                self.record.line("%s: uses %.0f MB, more than memory_mb %d: killed" % (self.name, resident, self.memory_mb))
                self.over_memory.append(self.record.now())
                self.expected = True
                self.child.kill()
                await self.child.wait()
            if self.child.returncode is not None and not self.is_closing:
                if not self.expected:
                    self.record.line("%s: ended by itself, code %d" % (self.name, self.child.returncode))
                    self.own_exits.append(self.record.now())
                await asyncio.sleep(0.3)
                if not self.is_closing:
                    await self.open()

    async def close(self):
        self.is_closing = True
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGKILL)
            await self.child.wait()
        self.log.close()


TAKEN = set()


def free_port():
    """Returns a port that is free now and was not returned before. It lies below the range from which outgoing connections get theirs."""
    while True:
        port = 10000 + secrets.randbelow(20000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in TAKEN:
            TAKEN.add(port)
            return port


async def call(address, method, path, host, content=None, limit=3.0):
    """A client's request on a connection of its own. Returns the status and the body, or 0 and the reason if there was no answer."""
    async def exchange():
        reader, writer = await asyncio.open_connection(*address, limit=8 * 1024 * 1024)
        try:
            body = b"" if content is None else json.dumps(content).encode()
            writer.write(("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n" % (
                method, path, host, limit * 1000, len(body))).encode() + body)
            first, _, answer = await read_message(reader)
            return int(first.split(" ")[1]), answer
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(exchange(), limit)
    except asyncio.TimeoutError:
        return 0, b"no answer in time"
    except (OSError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__.encode()


def new_id():
    return secrets.token_hex(8)


def temporary_directory():
    return tempfile.TemporaryDirectory(prefix="review3-")
