"""Starts a deployment on loopback for the demo, the benchmark and the end-to-end tests."""

import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.error
import urllib.request

OPERATOR_TOKEN = "demo-operator"
PEER_TOKEN = "demo-peer"
LISTEN_LIMIT_S = 15
READY_LIMIT_S = 20


def free_ports(count):
    """Returns ports that were free a moment ago."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def http(address, path, body=None, token=None, limit=10):
    """Calls an endpoint and returns the parsed JSON answer."""
    request = urllib.request.Request(f"http://{address}{path}", data=None if body is None else json.dumps(body).encode())
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=limit) as answer:
        return json.loads(answer.read())


class Process:
    """One started program with its log file."""

    def __init__(self, name, argv, folder, wants_address=False):
        self.name = name
        self.argv = argv
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        out = subprocess.PIPE if wants_address else self.log
        self.popen = subprocess.Popen(argv, stdout=out, stderr=self.log, stdin=subprocess.DEVNULL)
        self.address = self._read_address() if wants_address else None

    def _read_address(self):
        line = self.popen.stdout.readline().decode()
        found = re.match(r"listening (\S+)", line)
        if not found:
            raise RuntimeError(f"{self.name} did not start: {line!r}")
        return found.group(1)

    def signal(self, number):
        self.popen.send_signal(number)

    def stop(self, limit=40):
        """Stops gracefully; returns the exit code, or None where it had to be killed."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
            try:
                self.popen.wait(limit)
            except subprocess.TimeoutExpired:
                self.popen.kill()
                self.popen.wait()
                return None
        return self.popen.returncode

    def kill(self):
        self.popen.kill()
        self.popen.wait()


class Deployment:
    """A platform, executors, and a gate and a keeper on each of the entry instances."""

    def __init__(self, binaries, fleet, data_centres, per_data_centre=2, platform_flags=(), serving_threads=1):
        self.binaries = binaries
        self.fleet = fleet
        self.folder = tempfile.mkdtemp(prefix="mangocourse-")
        self.platform = Process("platform", [self._binary("standin-platform"), f"--fleet={fleet}", *platform_flags], self.folder, True)
        self.upstream = Process(
            "upstream", [self._binary("standin-upstream"), f"--fleet={fleet}", f"--platform={self.platform.address}"], self.folder, True
        )
        entries = [(centre, number) for centre in data_centres for number in range(1, per_data_centre + 1)]
        ports = free_ports(3 * len(entries))
        self.entries = []
        for index, (centre, number) in enumerate(entries):
            keeper, admin, callers = (f"127.0.0.1:{port}" for port in ports[3 * index : 3 * index + 3])
            self.entries.append({"centre": centre, "name": f"{centre}-{number}", "keeper": keeper, "admin": admin, "callers": callers})
        self.serving_threads = serving_threads
        self.processes = {}
        for entry in self.entries:
            self.start_keeper(entry)
            self.start_gate(entry)

    def _binary(self, name):
        return os.path.join(self.binaries, name)

    def _write(self, name, entry, role):
        """Writes a settings file; the process's own keeper and then those of its data centre come first."""
        keepers = sorted(self.entries, key=lambda other: (other is not entry, other["centre"] != entry["centre"]))
        path = os.path.join(self.folder, name + ".toml")
        with open(path, "w", encoding="utf-8") as out:
            out.write(f'[process]\nname = "{name}"\ndata_centre = "{entry["centre"]}"\n')
            out.write(f'[platform]\naddress = "{self.platform.address}"\n')
            out.write(f'[peers]\nkeepers = {json.dumps([other["keeper"] for other in keepers])}\n')
            out.write(f'[access]\noperator_token = "{OPERATOR_TOKEN}"\npeer_token = "{PEER_TOKEN}"\n')
            if role == "gate":
                out.write(f'[listen]\nadmin = "{entry["admin"]}"\ncallers = "{entry["callers"]}"\n')
                out.write(f"[serving]\nthreads = {self.serving_threads}\n")
            else:
                out.write(f'[listen]\nadmin = "{entry["keeper"]}"\n')
        return path

    def start_keeper(self, entry):
        name = "keeper-" + entry["name"]
        path = self._write(name, entry, "keeper")
        self.processes[name] = Process(name, [self._binary("mangocourse-keeper"), f"--settings={path}"], self.folder)

    def start_gate(self, entry):
        name = "gate-" + entry["name"]
        path = self._write(name, entry, "gate")
        self.processes[name] = Process(name, [self._binary("mangocourse-gate"), f"--settings={path}"], self.folder)

    def ctl(self, *words, check=True):
        """Runs mangoctl and returns what it printed."""
        argv = [self._binary("mangoctl"), f"--keepers={','.join(entry['keeper'] for entry in self.entries)}", f"--token={OPERATOR_TOKEN}", "--yes"]
        done = subprocess.run([*argv, *words], capture_output=True, text=True, check=False, timeout=30)
        if check and done.returncode != 0:
            raise RuntimeError(f"mangoctl {' '.join(words)}: {done.stdout}{done.stderr}")
        return done.stdout

    def addresses(self):
        """Returns the admin addresses of all gates and keepers."""
        return [entry["keeper"] for entry in self.entries] + [entry["admin"] for entry in self.entries]

    def await_state(self, condition, limit, addresses=None):
        """Waits until the state dump of every process meets the condition; returns the seconds it took."""
        started = time.monotonic()
        waiting = list(addresses or self.addresses())
        while waiting:
            if time.monotonic() - started > limit:
                raise RuntimeError(f"not reached within {limit} s at {waiting}")
            waiting = [address for address in waiting if not self._meets(address, condition)]
            if waiting:
                time.sleep(0.02)
        return time.monotonic() - started

    @staticmethod
    def _meets(address, condition):
        try:
            return condition(http(address, "/state", token=OPERATOR_TOKEN))
        except (urllib.error.URLError, OSError, ValueError):
            return False

    def publish_fleet(self):
        """Publishes the fleet file and waits until every gate can place work."""
        self.await_state(lambda state: True, LISTEN_LIMIT_S)
        self.ctl("fleet", "apply", self.fleet)
        expected = json.loads(self.ctl("instances", "--output=json"))
        gates = [entry["admin"] for entry in self.entries]
        self.await_state(
            lambda state: sum(line["takes_new_work"] for line in state["executors"]) == len(expected), READY_LIMIT_S, gates
        )

    def stop(self):
        """Stops everything; returns the names of processes that did not stop gracefully."""
        bad = []
        for entry in self.entries:
            for name in ("gate-" + entry["name"], "keeper-" + entry["name"]):
                process = self.processes[name]
                if process.popen.poll() is None:
                    process.signal(signal.SIGTERM)
        for name, process in self.processes.items():
            if process.stop() != 0:
                bad.append(name)
        self.upstream.stop()
        self.platform.stop()
        return bad
