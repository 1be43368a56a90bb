"""Stand-ins of the users' platform for the fault soak: the record store and the executors.

Both speak the platform's published calls over loopback HTTP and know nothing of the scheduler. The store keeps keyed streams, producers'
epochs and groups; an executor keeps leases on its own clock, tokens and run numbers. Faults are switched on from outside.
"""
import base64
import json
import random
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

LONGEST_LEASE_S = 6.0
STOP_S = 0.2


class Handler(BaseHTTPRequestHandler):
    """Passes each call to the owner of the server; no answer at all closes the connection."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def handle_call(self):
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        url = urlsplit(self.path)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        answer = self.server.owner.answer(url.path, query, body, self.headers)
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
            # The peer was killed or its connection was cut: that is what the soak does.
            self.close_connection = True


def serve(owner):
    """Starts a server on a port that the system chooses and returns its address."""
    server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
    server.daemon_threads = True
    server.owner = owner
    threading.Thread(target=server.serve_forever, kwargs={"poll_interval": 0.2}, daemon=True).start()
    return "127.0.0.1:%d" % server.server_address[1]


class Store:
    """The platform's log with keyed topics, producers and groups."""

    def __init__(self, parts):
        self.parts = parts
        self.changed = threading.Condition()
        self.logs = {}
        self.producers = {}
        self.groups = {}
        # What calls meet: "fine", "refusing", or "forgetful": carried out, and the answer is lost.
        self.mood = "fine"
        self.address = serve(self)

    def answer(self, path, query, body, _headers):
        if self.mood == "refusing":
            return 503, {}
        call = {"/log-append": self.append, "/log-read": self.read, "/log-newest": self.newest, "/log-join": self.join,
                "/log-leave": self.leave, "/log-owners": self.owners}.get(path)
        if call is None:
            return 404, {}
        answer = call(query, body)
        return None if self.mood == "forgetful" and random.random() < 0.4 else answer

    @staticmethod
    def split(body):
        records = []
        while body:
            size = int.from_bytes(body[:4], "big")
            records.append(body[4:4 + size])
            body = body[4 + size:]
        return records

    def append(self, query, body):
        place = (query["topic"], int(query["part"]))
        time.sleep(0.004)
        with self.changed:
            log = self.logs.setdefault(place, [])
            if "producer" in query:
                known = self.producers.setdefault(place + (query["producer"],), [-1, -1])
                epoch, sequence = int(query["epoch"]), int(query["sequence"])
                if epoch < known[0]:
                    return 409, {"reason": "fenced"}
                if epoch == known[0] and sequence <= known[1] and body:
                    return 200, {"offset": 0, "end": len(log)}
                if body or epoch > known[0]:
                    known[:] = [epoch, sequence if body else -1]
            log.extend(self.split(body))
            self.changed.notify_all()
            return 200, {"offset": len(log), "end": len(log)}

    def put(self, topic, key, value):
        """Writes a record of the operator or of an executor."""
        record = bytes([len(key)]) + key.encode() + json.dumps(value).encode()
        with self.changed:
            self.logs.setdefault((topic, 0), []).append(record)
            self.changed.notify_all()

    def read(self, query, _body):
        place, start = (query["topic"], int(query["part"])), int(query["from"])
        deadline = time.monotonic() + int(query.get("wait_ms", 0)) / 1000
        with self.changed:
            while len(self.logs.get(place, [])) <= start and time.monotonic() < deadline:
                self.changed.wait(max(0.0, deadline - time.monotonic()))
            log = self.logs.get(place, [])
            head = len(log).to_bytes(8, "big") + (0).to_bytes(8, "big")
            return 200, head + b"".join(len(record).to_bytes(4, "big") + record for record in log[start:])

    def newest(self, query, _body):
        place = (query["topic"], int(query["part"]))
        with self.changed:
            log = self.logs.get(place, [])
            latest = {}
            for offset, record in enumerate(log):
                key = record[1:1 + record[0]].decode()
                latest[key] = (record[1 + record[0]:], offset)
            items = [{"key": key, "value": base64.b64encode(value).decode(), "offset": offset} for key, (value, offset) in sorted(latest.items()) if value]
            return 200, {"items": items, "more": False, "end": len(log)}

    def group(self, name):
        return self.groups.setdefault(name, {"generation": 0, "members": {}, "topics": [], "owner": {}})

    def deal(self, group):
        """Deals the partitions out evenly; each keeps its member where that is possible."""
        members = sorted(group["members"])
        group["generation"] += 1
        slots = [(topic, part) for topic in group["topics"] for part in range(self.parts)]
        most = -(-len(slots) // len(members)) if members else 0
        load = dict.fromkeys(members, 0)
        kept = {}
        for slot in slots:
            member = group["owner"].get(slot)
            if member in load and load[member] < most:
                kept[slot] = member
                load[member] += 1
        for slot in slots:
            if slot not in kept and members:
                member = min(members, key=lambda one: load[one])
                kept[slot] = member
                load[member] += 1
        group["owner"] = kept

    def expire(self, group):
        silent = [member for member, until in group["members"].items() if until < time.monotonic()]
        for member in silent:
            del group["members"][member]
        return bool(silent)

    def join(self, _query, body):
        request = json.loads(body)
        with self.changed:
            group = self.group(request["group"])
            changed = self.expire(group) or request["member"] not in group["members"]
            group["members"][request["member"]] = time.monotonic() + request["ttl_ms"] / 1000
            group["topics"] = request["topics"]
            if changed:
                self.deal(group)
            parts = [[topic, part, 0] for (topic, part), member in sorted(group["owner"].items()) if member == request["member"]]
            return 200, {"generation": group["generation"], "parts": parts}

    def leave(self, _query, body):
        request = json.loads(body)
        with self.changed:
            group = self.group(request["group"])
            if group["members"].pop(request["member"], None) is not None:
                self.deal(group)
        return 200, {}

    def owners(self, query, _body):
        with self.changed:
            group = self.group(query["group"])
            if self.expire(group):
                self.deal(group)
            return 200, {"parts": [[topic, part, member, 0] for (topic, part), member in group["owner"].items()]}


class Executor:
    """One machine that runs work items; each start of it is a life of its own."""

    def __init__(self, name, service, store, judge):
        self.name = name
        self.service = service
        self.store = store
        self.judge = judge
        self.lock = threading.Condition()
        # The address that owners are told; a proxy may stand before the server.
        self.address = serve(self)
        self.told = self.address
        self.start_anew()
        threading.Thread(target=self.live, daemon=True).start()

    def start_anew(self):
        with self.lock:
            self.born = int(time.time() * 1000)
            self.start = time.monotonic()
            self.rate = random.choice([1.0, 0.985])
            self.token = 0
            self.ends = []
            self.last_end = 0
            self.running = {}
            self.highest = {}
            self.lease_until = 0
            self.is_up = True
            self.judge.life_over(self.name)
            self.lock.notify_all()

    def crash(self):
        with self.lock:
            self.is_up = False
            self.running = {}
            self.judge.life_over(self.name)

    def clock(self):
        return int((time.monotonic() - self.start) * 1000 * self.rate) + 1000

    def live(self):
        """Ends work whose time has come, and reports to the store."""
        reported = 0.0
        while True:
            time.sleep(0.02)
            with self.lock:
                if self.is_up and time.monotonic() - reported > 1.0 and self.store.mood == "fine":
                    reported = time.monotonic()
                    self.store.put("keyed.servers", self.name, {
                        "service": self.service, "address": self.told, "zone": "z", "state": "ready", "born": self.born, "machine": "m-" + self.name,
                        "sequence": int(reported), "capacity": {"cpu": 16000, "mem_mb": 64000}, "labels": ["a", "rack-1"]})
                is_lapsed = self.lease_until < self.clock()
                over = [item for item, work in self.running.items() if is_lapsed or work["until"] <= time.monotonic()]
                for item in over:
                    self.end(item, "lapsed" if is_lapsed else self.running[item]["how"])

    def end(self, item, how):
        work = self.running.pop(item)
        self.highest[item] = max(self.highest.get(item, 0), work["run"])
        self.last_end += 1
        self.ends.append([self.last_end, item, work["run"], how, ""])
        self.judge.ended(item, self.name, work["run"], how)
        self.lock.notify_all()

    def hold_lease(self, until):
        self.lease_until = max(self.lease_until, min(until, self.clock() + int(LONGEST_LEASE_S * 1000)))

    def answer(self, path, _query, body, _headers):
        if not self.is_up:
            return None
        request = json.loads(body)
        with self.lock:
            if request.get("fencing_token", 0) < self.token:
                return 409, {"clock_ms": self.clock(), "reason": "fence"}
            self.token = request.get("fencing_token", 0)
            call = {"/run-start": self.run_start, "/run-stop": self.run_stop, "/hold": self.hold}.get(path)
            return call(request) if call else (404, {})

    def run_start(self, request):
        item, run = request["task"], request["run"]
        clock = {"clock_ms": self.clock()}
        if item in self.running and self.running[item]["run"] == run:
            self.hold_lease(request["until_ms"])
            return 200, clock
        if item in self.running or run <= self.highest.get(item, 0):
            return 409, dict(clock, reason="old")
        if request["until_ms"] <= self.clock():
            return 409, dict(clock, reason="late")
        if len(self.running) >= 8:
            return 409, dict(clock, reason="room")
        self.hold_lease(request["until_ms"])
        how = "failed" if random.random() < 0.05 else "done"
        self.running[item] = {"run": run, "until": time.monotonic() + random.uniform(0.1, 0.8), "how": how}
        self.judge.started(item, self.name, run)
        return 200, clock

    def run_stop(self, request):
        item = request["task"]
        self.highest[item] = max(self.highest.get(item, 0), request["run"])
        if item in self.running and self.running[item]["run"] <= request["run"]:
            self.running[item].update(until=time.monotonic() + random.uniform(0, STOP_S), how="stopped")
        return 200, {"clock_ms": self.clock()}

    def hold(self, request):
        if "until_ms" in request:
            self.hold_lease(request["until_ms"])
        seen = request.get("last_seen", 0)
        for end in [end for end in self.ends if end[0] <= seen]:
            self.judge.acknowledged(end[1], end[2], end[3])
            self.ends.remove(end)
        deadline = time.monotonic() + request.get("wait_ms", 0) / 1000
        born = self.born
        while not self.ends and time.monotonic() < deadline and self.born == born and self.is_up:
            self.lock.wait(deadline - time.monotonic())
        if self.born != born or not self.is_up:
            return None
        running = [[item, work["run"], "", 100, 0] for item, work in self.running.items()]
        return 200, {"clock_ms": self.clock(), "born": self.born, "running": running, "ended_runs": self.ends[:500]}
