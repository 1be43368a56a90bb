"""Stand-ins for the users' platform, for the scripts of the review: store, executors, machines of the system, and clients.

They follow PROTOCOL.md and DEPLOY.md, and use the standard library only. Everything runs in one event loop; the scheduler runs as separate processes.
"""
import asyncio
import base64
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
# Bounds of the site kocka-znova (SYSTEM.md), and the figures of the settings in DEPLOY.md.
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000, "grace_s": 6, "loss_slack_ms": 200,
          "config_apply_ms": 2000, "rollback_slack_ms": 250, "max_stretch_ms": 5000, "recover_s": 12, "max_hold_ms": 6000, "stop_ms": 200, "gang_ms": 3000,
          "cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "cross_rack_factor": 3, "checkpoint_s": 0.5,
          "restore_ms": 600, "notice_ms": 4500, "move_s": 1.5, "maintenance_s": 2, "enforce_fencing": True, "lease_ms": 3000, "thaw_ms": 300, "pace_ms": 100,
          "harm_ms": 4000}
HEARTBEAT_MS = 1500
PARTS = 8
APPEND_S = 0.004
RECORD_BYTES = 262144
REQUEST_BYTES = 2097152
MIN_TTL_MS = 1000
REPEATED_APPENDS = 5
NEWEST_ITEMS = 500
NEWEST_BYTES = 1024 * 1024
LISTED_ENDS = 500
TEST_LIMIT_S = 115.0


class CannotRun(Exception):
    """The case could not be carried out, so it says nothing about the rule."""


class HttpServer:
    """Keep-alive HTTP/1.1 server. respond(method, path, query, headers, body) returns (status, bytes or JSON), or None for no answer at all."""

    def __init__(self, respond, host):
        self.respond = respond
        self.host = host
        self.server = None
        self.writers = set()
        # The peer's machine is dark until then: nothing that comes is read, and nothing is answered.
        self.dark_from = self.dark_until = 0.0
        # Connections that are older belong to an earlier life of the machine.
        self.boot_at = 0.0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, self.host, port, backlog=512, limit=4 * 1024 * 1024)
        self.port = self.server.sockets[0].getsockname()[1]
        self.address = "%s:%d" % (self.host, self.port)

    def stop(self):
        """Stops listening and resets all connections, as the end of a process does."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def arrives(self, opened, sock):
        """Returns False, when TCP would show it to the sender, if a request was sent on a connection that does not lead to this life of the machine."""
        sent = time.monotonic()
        if opened >= self.boot_at:
            return True
        if opened >= self.dark_from:
            # The first packet of a connection is sent again after 1 s, when callers of the system have given up. So it never leads anywhere.
            await asyncio.sleep(max(0.0, opened + 1.1 - sent))
        elif sent < self.dark_until:
            # Data on an open connection is sent again after 0.2, 0.6, 1.4 and 3 s. The first that reaches the new life is answered by a reset.
            again = [sent + after for after in (0.2, 0.6, 1.4, 3.0)]
            await asyncio.sleep(min([at for at in again if at >= self.dark_until], default=again[-1]) - sent)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        return False

    def go_dark(self, seconds):
        self.dark_from = time.monotonic()
        self.dark_until = self.boot_at = self.dark_from + seconds

    async def serve(self, reader, writer):
        self.writers.add(writer)
        opened = time.monotonic()
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                if not await self.arrives(opened, sock):
                    break
                lines = head.decode("latin-1").split("\r\n")
                method, target, _ = lines[0].split(" ", 2)
                headers = {}
                for line in lines[1:]:
                    name, _, value = line.partition(":")
                    headers[name.lower()] = value.strip()
                length = int(headers.get("content-length", "0"))
                body = await reader.readexactly(length) if length else b""
                url = urlsplit(target)
                query = {name: values[0] for name, values in parse_qs(url.query).items()}
                if self.respond is None:
                    # StreamReader notes the end of the stream while a request is being answered.
                    answer = await self.respond_open(method, url.path, query, headers, body, lambda: not reader.at_eof() and not writer.is_closing())
                else:
                    answer = await self.respond(method, url.path, query, headers, body)
                if answer is None:
                    break
                status, content = answer
                if not isinstance(content, bytes):
                    content = json.dumps(content, separators=(",", ":")).encode()
                writer.write(b"HTTP/1.1 %d X\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n" % (status, len(content)) + content)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            # The peer has closed or reset the connection.
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Log:
    """One partition of a topic."""

    def __init__(self):
        self.records = []
        self.newest = {}
        self.producers = {}
        self.changed = asyncio.Event()
        self.turn = asyncio.Lock()

    def add(self, key, value):
        self.records.append(bytes([len(key)]) + key + value)
        if value:
            self.newest[key] = (value, len(self.records) - 1)
        else:
            self.newest.pop(key, None)
        self.changed.set()
        self.changed = asyncio.Event()


class Store:
    """The platform's metadata store, without disturbances of its own."""

    def __init__(self, host):
        self.logs = {}
        self.groups = {}
        # Machines whose next answer to a read of the operator's records is lost, and their connection with it.
        self.silent = set()
        self.server = HttpServer(self.respond, host)

    async def start(self):
        await self.server.start()
        self.address = self.server.address

    async def serve_machine(self, name):
        """Returns an address of the store for one machine, so that its calls are told apart."""

        async def respond(method, path, query, headers, body):
            answer = await self.respond(method, path, query, headers, body)
            if name in self.silent and path == "/log-read" and query["topic"] == "keyed.op":
                # The connection of this read is silent for good; all others work.
                self.silent.discard(name)
                await asyncio.sleep(TEST_LIMIT_S)
                return None
            return answer

        server = HttpServer(respond, self.server.host)
        await server.start()
        return server.address

    def log(self, topic, part=0):
        return self.logs.setdefault((topic, part), Log())

    def put(self, topic, key, value):
        """Writes a record on behalf of the operator or of an executor."""
        self.log(topic).add(key.encode(), b"" if value is None else json.dumps(value).encode())

    def get(self, topic, key):
        found = self.log(topic).newest.get(key.encode())
        return json.loads(found[0]) if found else None

    async def respond(self, method, path, query, headers, body):
        handler = {"/log-append": self.append, "/log-read": self.read, "/log-newest": self.read_newest, "/log-join": self.join, "/log-leave": self.leave,
                   "/log-owners": self.owners, "/log-trim": self.trim}.get(path)
        return await handler(query, body) if handler else (404, {})

    async def trim(self, query, body):
        return 200, {}

    async def append(self, query, body):
        if query["topic"] in ("keyed.op", "keyed.servers"):
            return 403, {}
        if len(body) > REQUEST_BYTES + 4096:
            return 413, {}
        records = []
        at = 0
        while at < len(body):
            size = int.from_bytes(body[at:at + 4], "big")
            records.append(body[at + 4:at + 4 + size])
            at += 4 + size
            if size > RECORD_BYTES:
                return 413, {}
        log = self.log(query["topic"], int(query["part"]))
        async with log.turn:
            await asyncio.sleep(APPEND_S)
            if "at" in query and int(query["at"]) != len(log.records):
                return 412, {"end": len(log.records)}
            producer = None
            if "producer" in query:
                producer = log.producers.setdefault(query["producer"], {"epoch": -1, "next": None, "answers": {}})
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                if epoch < producer["epoch"]:
                    return 409, {"reason": "fenced"}
                if epoch > producer["epoch"]:
                    producer.update(epoch=epoch, next=None, answers={})
                if records and sequence in producer["answers"]:
                    return producer["answers"][sequence]
                if records and producer["next"] not in (None, sequence):
                    return 409, {"reason": "seq", "sequence": producer["next"]}
            answer = 200, {"offset": len(log.records), "end": len(log.records) + len(records)}
            for record in records:
                log.add(record[1:1 + record[0]], record[1 + record[0]:])
            if producer is not None and records:
                producer["next"] = sequence + 1
                producer["answers"][sequence] = answer
                producer["answers"].pop(sequence - REPEATED_APPENDS, None)
            return answer

    async def read(self, query, body):
        log = self.log(query["topic"], int(query["part"]))
        start = int(query["from"])
        limit = int(query.get("max_kb", 1024)) * 1024
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        while len(log.records) <= start and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(log.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        parts = [len(log.records).to_bytes(8, "big"), (0).to_bytes(8, "big")]
        size = 0
        for record in log.records[start:]:
            if size and size + len(record) > limit:
                break
            parts += [len(record).to_bytes(4, "big"), record]
            size += len(record)
        return 200, b"".join(parts)

    async def read_newest(self, query, body):
        log = self.log(query["topic"], int(query["part"]))
        after = query.get("depends_on")
        items, size, more = [], 0, False
        for key in sorted(log.newest):
            if after is not None and key <= after.encode():
                continue
            value, offset = log.newest[key]
            if len(items) == NEWEST_ITEMS or size > NEWEST_BYTES:
                more = True
                break
            items.append({"key": key.decode(), "value": base64.b64encode(value).decode(), "offset": offset})
            size += len(value)
        return 200, {"items": items, "more": more, "end": len(log.records)}

    def group(self, name):
        return self.groups.setdefault(name, {"generation": 0, "members": {}, "topics": [], "owner": {}, "pending": {}})

    def expire(self, group):
        gone = [name for name, member in group["members"].items() if member["until"] < time.monotonic()]
        for name in gone:
            self.remove(group, name)
        if gone:
            self.assign(group)

    @staticmethod
    def remove(group, name):
        del group["members"][name]
        for part, owner in list(group["owner"].items()):
            if owner == name:
                group["owner"][part] = None

    def assign(self, group):
        """Deals the partitions out evenly. One that changes its member is free until the old member has joined with the new generation."""
        group["generation"] += 1
        members = sorted(group["members"])
        parts = [(topic, part) for topic in group["topics"] for part in range(PARTS)]
        wanted = {}
        share = -(-len(parts) // len(members)) if members else 0
        load = dict.fromkeys(members, 0)
        for part in parts:
            owner = group["owner"].get(part)
            if owner in load and load[owner] < share:
                wanted[part] = owner
                load[owner] += 1
        for part in parts:
            if part not in wanted and members:
                wanted[part] = min(members, key=lambda name: load[name])
                load[wanted[part]] += 1
        group["pending"] = {}
        for part in parts:
            owner = group["owner"].get(part)
            if owner in group["members"] and wanted.get(part) != owner:
                group["pending"][part] = (owner, wanted.get(part), group["generation"])
                group["owner"][part] = None
            else:
                group["owner"][part] = wanted.get(part)

    def settle(self, group):
        for part, (old, new, generation) in list(group["pending"].items()):
            if old not in group["members"] or group["members"][old]["generation"] >= generation:
                group["owner"][part] = new if new in group["members"] else None
                del group["pending"][part]

    async def join(self, query, body):
        request = json.loads(body)
        group = self.group(request["group"])
        self.expire(group)
        name = request["member"]
        group["topics"] = request["topics"]
        is_new = name not in group["members"]
        group["members"][name] = {"until": time.monotonic() + max(request["ttl_ms"], MIN_TTL_MS) / 1000, "generation": request["generation"]}
        if is_new:
            self.assign(group)
        self.settle(group)
        parts = [[topic, part, 0] for (topic, part), owner in sorted(group["owner"].items()) if owner == name]
        return 200, {"generation": group["generation"], "parts": parts}

    async def leave(self, query, body):
        request = json.loads(body)
        group = self.group(request["group"])
        if request["member"] in group["members"]:
            self.remove(group, request["member"])
            self.assign(group)
        return 200, {}

    async def owners(self, query, body):
        group = self.group(query["group"])
        self.expire(group)
        self.settle(group)
        return 200, {"parts": [[topic, part, owner, 0] for (topic, part), owner in group["owner"].items() if owner]}


class Executor:
    """A machine that runs work items. work(task, run) returns (seconds, how it ends, cpu, mem_mb), or None in place of the seconds if it lasts."""

    def __init__(self, world, name, service, cores=64, memory_mb=262144):
        self.world = world
        self.id = name
        self.service = service
        self.capacity = {"cpu": cores * 1000, "mem_mb": memory_mb}
        self.labels = ["plain", "rack-1"]
        self.sequence = 0
        self.server = None
        self.port = 0
        # Seconds between the start of a boot and its first entry in the store.
        self.first_beat_s = 0.05
        self.is_up = False

    async def start(self):
        self.server = HttpServer(self.respond, self.world.host)
        await self.server.start(self.port)
        self.port = self.server.port
        self.boot_anew()

    def boot_anew(self):
        self.born = int(time.time() * 1000)
        self.boot = time.monotonic()
        self.token = 0
        self.lease = 0
        self.running = {}
        self.ends = []
        self.last_end = 0
        self.highest = {}
        self.changed = asyncio.Event()
        self.is_up = True
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.watch_lease())]
        self.world.note("executor_up", executor=self.id, born=self.born)

    async def restart_in_the_dark(self, seconds):
        """The machine is dark for so long, and has started again under its id when it is back."""
        self.server.go_dark(seconds)
        self.forget()
        await asyncio.sleep(seconds)
        self.boot_anew()

    def crash(self):
        self.forget()
        self.server.stop()

    def forget(self):
        """All that runs ends, and nothing of it is known any more."""
        self.world.note("executor_crash", executor=self.id, born=self.born, running=sorted(self.running))
        self.is_up = False
        for task in self.tasks:
            task.cancel()
        for work in self.running.values():
            work["timer"].cancel() if work["timer"] else None
        for name in list(self.running):
            self.world.on_end(self, name, self.running[name]["run"], "crash")
        self.running = {}

    def clock(self):
        return int((time.monotonic() - self.boot) * 1000)

    async def beat(self):
        await asyncio.sleep(self.first_beat_s)
        while True:
            self.sequence += 1
            self.world.store.put("keyed.servers", self.id, {
                "service": self.service, "address": self.server.address, "zone": "ljubljana-a", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
                "sequence": self.sequence, "born": self.born, "machine": "m-" + self.id, "capacity": self.capacity, "labels": self.labels})
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def watch_lease(self):
        while True:
            await asyncio.sleep(0.02)
            if self.running and self.lease < self.clock():
                for name in list(self.running):
                    self.end(name, "lapsed")

    def used(self, kind):
        return sum(work[kind] for work in self.running.values())

    def end(self, name, how):
        work = self.running.pop(name, None)
        if work is None:
            return
        if work["timer"]:
            work["timer"].cancel()
        self.highest[name] = max(self.highest.get(name, 0), work["run"])
        self.last_end += 1
        self.ends.append([self.last_end, name, work["run"], how, ""])
        self.world.on_end(self, name, work["run"], how)
        self.wake()

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def extend(self, until):
        self.lease = max(self.lease, min(until, self.clock() + BOUNDS["max_hold_ms"]))

    async def respond(self, method, path, query, headers, body):
        if headers.get("x-expect-instance") != self.id:
            return 421, {"clock_ms": self.clock()}
        request = json.loads(body)
        token = request.get("fencing_token", 0)
        if token < self.token:
            return 409, {"clock_ms": self.clock(), "reason": "fence"}
        self.token = token
        if path == "/run-start":
            return self.run_start(request)
        if path == "/run-stop":
            return self.run_stop(request)
        if path == "/pace":
            return 200, {"clock_ms": self.clock()}
        if path == "/hold":
            return await self.hold(request)
        return 404, {}

    def run_start(self, request):
        name, run = request["task"], request["run"]
        present = self.running.get(name)
        if present and present["run"] == run:
            self.extend(request["until_ms"])
            return 200, {"clock_ms": self.clock()}
        if request["until_ms"] <= self.clock():
            return 409, {"clock_ms": self.clock(), "reason": "late"}
        self.extend(request["until_ms"])
        if present or run <= self.highest.get(name, 0):
            return 409, {"clock_ms": self.clock(), "reason": "old"}
        if self.world.advice is not None and not self.world.advice.accepts(request.get("ticket"), name, self.id):
            return 409, {"clock_ms": self.clock(), "reason": "ticket"}
        seconds, how, cpu, memory = self.world.work(name, run)
        if self.used("cpu") + cpu > self.capacity["cpu"] or self.used("mem_mb") + memory > self.capacity["mem_mb"]:
            return 409, {"clock_ms": self.clock(), "reason": "room"}
        timer = None if seconds is None else asyncio.get_running_loop().call_later(seconds, self.end, name, how)
        self.running[name] = {"run": run, "timer": timer, "cpu": cpu, "mem_mb": memory, "since": time.monotonic()}
        self.world.on_start(self, name, run)
        return 200, {"clock_ms": self.clock()}

    def run_stop(self, request):
        name, run = request["task"], request["run"]
        self.highest[name] = max(self.highest.get(name, 0), run)
        if name in self.running and self.running[name]["run"] <= run:
            asyncio.get_running_loop().call_later(BOUNDS["stop_ms"] / 2000, self.end, name, "stopped")
        return 200, {"clock_ms": self.clock()}

    async def hold(self, request):
        if "until_ms" in request:
            self.extend(request["until_ms"])
        seen = request.get("last_seen", 0)
        for end in self.ends:
            if end[0] > seen:
                break
            self.world.on_noted(self, end[1], end[2], end[3])
        self.ends = [end for end in self.ends if end[0] > seen]
        deadline = time.monotonic() + min(request.get("wait_ms", 0), 2000) / 1000
        while not self.ends and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(self.changed.wait(), deadline - time.monotonic())
            except asyncio.TimeoutError:
                break
        running = [[name, work["run"], "", 100, work["cpu"]] for name, work in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended_runs": self.ends[:LISTED_ENDS]}


class Advice:
    """The service at `advice`: answers one call at a time for each calling machine, in turn, and knows which tickets it has given.

    Each machine has an address of its own for it, so that calls are told apart. With drops_abandoned, a call whose connection was closed meanwhile
    takes no time; without, it takes its turn like the others.
    """

    def __init__(self, world, decide_ms, each_ms, valid_ms, drops_abandoned=False):
        self.world = world
        self.decide_ms = decide_ms
        self.each_ms = each_ms
        self.valid_ms = valid_ms
        self.drops_abandoned = drops_abandoned
        self.tickets = {}
        self.counts = {"answered": 0, "abandoned": 0, "refused": 0}
        self.number = 0

    async def serve_machine(self):
        """Returns the address for one machine."""
        state = {"turn": asyncio.Lock(), "waiting": 0}

        async def respond(method, path, query, headers, body, is_open):
            if path != "/advise":
                return 404, {}
            if state["waiting"] >= 32:
                self.counts["refused"] += 1
                return 429, {}
            request = json.loads(body)
            state["waiting"] += 1
            async with state["turn"]:
                state["waiting"] -= 1
                if not (self.drops_abandoned and not is_open()):
                    await asyncio.sleep((self.decide_ms + self.each_ms * len(request["workers"])) / 1000)
            if not is_open():
                self.counts["abandoned"] += 1
                return None
            self.counts["answered"] += 1
            good = []
            for worker in request["workers"]:
                self.number += 1
                ticket = "%x" % self.number
                self.tickets[ticket] = (request["step"], worker, time.monotonic() + self.valid_ms / 1000)
                good.append([worker, ticket])
            return 200, {"good": good, "valid_ms": self.valid_ms}

        server = HttpServer(None, self.world.host)
        server.respond_open = respond
        await server.start()
        return server.address

    def accepts(self, ticket, task, executor):
        known = self.tickets.get(ticket)
        return known is not None and known[0] == task.rsplit(".", 1)[0] and known[1] == executor and known[2] >= time.monotonic()


class Front:
    """One machine of the system, with the command of the deploy file."""

    def __init__(self, world, number):
        self.world = world
        self.name = "front-ljubljana-a-%d" % (number + 1)
        self.host = world.front_hosts[number]
        self.settings = os.path.join(world.folder, self.name + ".json")
        self.log = open(os.path.join(world.folder, self.name + ".log"), "ab")
        self.child = None
        self.advice_address = None
        self.store_address = None
        self.is_first = True

    def start(self):
        world = self.world
        with open(self.settings, "w") as file:
            json.dump({"node": self.name, "role": "scheduler", "machine_class": "front", "serves": ["front"], "ip": self.host, "zone": "ljubljana-a",
                       "region": "slo-central", "zones": {"ljubljana-a": "slo-central"},
                       "listen": {"front": self.host + ":8624", "ready": self.host + ":8622"}, "port_range": [7060, 7075], "seeds": [],
                       "bootstrap": self.is_first, "counts_as_loss": False,
                       "limits": {"cpu_share": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}, "data_dir": None,
                       "discovery": "platform", "entry": "vip", "heartbeat_ms": HEARTBEAT_MS,
                       "contracts": ["base", "drain", "config", "cost", "recover", "sched", "platform"],
                       "tolerate": {"machines": 2, "zones": 1, "regions": 0}, "bounds": BOUNDS, "orders": "request", "advice": self.advice_address,
                       "platform": {"address": self.store_address, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": PARTS, "append_ms": 4.0,
                                    "part_mb_per_s": 20.0, "read_mb_per_s": 80.0, "record_bytes": RECORD_BYTES, "request_bytes": REQUEST_BYTES, "keep_s": 300,
                                    "part_mb": 200, "min_ttl_ms": MIN_TTL_MS}}, file)
        environment = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment["MANGOCOURSE_NODE_FILE"] = self.settings
        self.child = subprocess.Popen(world.command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        self.is_first = False
        world.note("process_start", process=self.name)

    def send(self, number):
        self.world.note("signal", process=self.name, signal=signal.Signals(number).name)
        self.child.send_signal(number)

    async def wait_for_end(self, seconds):
        deadline = time.monotonic() + seconds
        while self.child.poll() is None and time.monotonic() < deadline:
            await asyncio.sleep(0.02)
        return self.child.poll()

    async def is_ready(self):
        answer = await request(self.host, 8622, "GET", "/ready", "ready", None, 1.0)
        return answer is not None and answer[0] == 200

    def close(self):
        if self.child is not None and self.child.poll() is None:
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
            self.child.wait()
        self.log.close()


async def request(host, port, method, path, host_header, body, timeout_s):
    """Returns (status, JSON) of one request on a new connection, or None without a complete answer."""
    content = b"" if body is None else json.dumps(body).encode()
    head = ("%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\nConnection: close\r\n\r\n"
            % (method, path, host_header, timeout_s * 1000, len(content))).encode()

    async def exchange():
        reader, writer = await asyncio.open_connection(host, port)
        try:
            writer.write(head + content)
            await writer.drain()
            lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
            length = [int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length:")]
            text = await reader.readexactly(length[0] if length else 0)
            return int(lines[0].split(" ")[1]), json.loads(text or b"{}")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
        return None


class World:
    """A small deployment and the record of what is sent, answered and run."""

    HOST_NAME = "kocka.example"

    def __init__(self, record, front_count):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started = time.monotonic()
        self.record = open(record, "w")
        self.folder = tempfile.mkdtemp(prefix="review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.command = tomllib.load(file)["roles"]["scheduler"]["run"].split()
        number = os.getpid()
        self.host = "127.%d.%d.1" % (20 + (number >> 8) % 200, number % 256)
        self.front_hosts = ["127.%d.%d.%d" % (20 + (number >> 8) % 200, number % 256, 2 + index) for index in range(front_count)]
        self.store = Store(self.host)
        self.executors = []
        self.fronts = [Front(self, index) for index in range(front_count)]
        self.advice = None
        self.version = 0
        self.runs = {}
        self.starts = []
        self.noted = []
        self.is_quiet = False
        self.violations = []

    # Hooks of the executors. A case replaces work() and may watch the others.

    def work(self, task, run):
        return 1.0, "done", 1000, 100

    def on_start(self, executor, task, run):
        self.starts.append((time.monotonic(), executor.id, task, run))
        others = self.runs.setdefault(task, {})
        if not self.is_quiet:
            self.note("run_start", executor=executor.id, born=executor.born, task=task, run=run, also_on=sorted(others))
        others[executor.id] = run

    def on_end(self, executor, task, run, how):
        if self.runs.get(task, {}).get(executor.id) == run:
            del self.runs[task][executor.id]
        if not self.is_quiet:
            self.note("run_end", executor=executor.id, born=executor.born, task=task, run=run, how=how)

    def on_noted(self, executor, task, run, how):
        self.noted.append((time.monotonic(), task, run, how))
        if not self.is_quiet:
            self.note("end_noted", executor=executor.id, task=task, run=run, how=how)

    def note(self, event, **fields):
        self.record.write("%9.3f %s %s\n" % (time.monotonic() - self.started, event, json.dumps(fields)))
        self.record.flush()

    def broken(self, rule, text):
        self.violations.append((rule, text))
        self.note("BROKEN", rule=rule, text=text)

    def configure(self, routes, services):
        """Writes the next version of the configuration. Each route is (name, path prefix, service, further fields)."""
        self.version += 1
        full = [dict({"name": name, "host": self.HOST_NAME, "path_prefix": prefix, "service": service, "priority": 0, "max_attempts": 3, "slack_factor": 2.0,
                      "target_latency_ms": 600, "timeout_ms": 3000}, **more) for name, prefix, service, more in routes]
        self.store.put("keyed.op", "config", {
            "version": self.version, "routes": full, "limits": {},
            "services": [{"name": name, "rejects_overload": True, "max_conns": 64, "health_path": "/health", "standby": False} for name in services]})
        self.note("configuration", version=self.version, routes=full)

    async def call(self, front, method, path, body=None, timeout_s=3.0, quiet=False):
        """Sends a client's request to a machine of the system, and returns (status, JSON) or None."""
        sent = time.monotonic()
        answer = await request(front.host, 8624, method, path, self.HOST_NAME, body, timeout_s)
        if not quiet:
            shown = {"steps": body["steps"]} if body else None
            self.note("request", process=front.name, method=method, path=path, body=shown, answer=answer, ms=round((time.monotonic() - sent) * 1000))
        return answer

    async def submit(self, front, path, body, tries=5):
        """Hands a job in as clients do: again with the same ID while there is no answer, or a refusal."""
        for _ in range(tries):
            answer = await self.call(front, "POST", path, body)
            if answer is not None and answer[0] == 200:
                return time.monotonic()
            await asyncio.sleep(0.3)
        raise CannotRun("the job %s was not accepted" % path)

    async def start(self):
        await self.store.start()
        for executor in self.executors:
            await executor.start()
        for front in self.fronts:
            front.store_address = await self.store.serve_machine(front.name)
            if self.advice is not None:
                front.advice_address = await self.advice.serve_machine()
            front.start()
        await self.wait_until_ready(self.fronts)

    async def wait_until_ready(self, fronts, seconds=15.0):
        deadline = time.monotonic() + seconds
        for front in fronts:
            while not await front.is_ready():
                if time.monotonic() > deadline:
                    raise CannotRun("%s is not ready" % front.name)
                if front.child.poll() is not None:
                    raise CannotRun("%s has ended with %s" % (front.name, front.child.returncode))
                await asyncio.sleep(0.1)

    def job_owner(self):
        """Returns the machines that hold partitions of the jobs, by the store's own list."""
        group = self.store.group("owners")
        names = {owner.split("~")[0] for owner in group["owner"].values() if owner}
        return [front for front in self.fronts if front.name in names]

    def close(self):
        for front in self.fronts:
            front.close()
        for executor in self.executors:
            if executor.is_up:
                executor.server.stop()
        keep = os.environ.get("REVIEW_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)
        self.record.close()


def run_case(case, record, front_count):
    """Runs the coroutine function case(world), writes to the file record, and exits with 1 if a rule was broken, 0 if all held, and 2 if the case could not run."""

    async def main():
        world = World(record, front_count)
        # The scheduler's processes end with the script, also if that is told to stop.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            world.note("case", trouble=world.trouble)
            await asyncio.wait_for(case(world), TEST_LIMIT_S)
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            world.note("cannot_run", reason=repr(error))
            print("could not run: %r" % error)
            return 2
        finally:
            world.close()
        for rule, text in world.violations:
            print("%s: %s" % (rule, text))
        return 1 if world.violations else 0

    code = asyncio.run(main())
    print({0: "held", 1: "broken", 2: "could not run"}[code])
    sys.exit(code)
