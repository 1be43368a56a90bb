"""Starts a deployment on loopback addresses for the demo, the benchmarks and the end-to-end tests."""

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
LISTEN_TIMEOUT_S = 15
READY_TIMEOUT_S = 20


def free_ports(count):
    """Returns distinct loopback ports that are currently free; another program may take one before it is used."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


def http(address, path, body=None, token=None, timeout_s=10):
    """Calls an HTTP endpoint (POST if there is a body, otherwise GET) and returns the parsed JSON answer."""
    request = urllib.request.Request(f"http://{address}{path}", data=None if body is None else json.dumps(body).encode())
    if token:
        request.add_header("Authorization", f"Bearer {token}")
    with urllib.request.urlopen(request, timeout=timeout_s) as answer:
        return json.loads(answer.read())


class Process:
    """A started program and its log file; reads the address from its first line of output if prints_address is set."""

    def __init__(self, name, argv, folder, prints_address=False):
        self.name = name
        self.argv = argv
        self.log = open(os.path.join(folder, name + ".log"), "ab")
        out = subprocess.PIPE if prints_address else self.log
        self.popen = subprocess.Popen(argv, stdout=out, stderr=self.log, stdin=subprocess.DEVNULL)
        self.address = self._read_address() if prints_address else None

    def _read_address(self):
        line = self.popen.stdout.readline().decode()
        match = re.match(r"listening (\S+)", line)
        if not match:
            raise RuntimeError(f"{self.name} did not start: {line!r}")
        return match.group(1)

    def signal(self, number):
        self.popen.send_signal(number)

    def stop(self, timeout_s=40):
        """Stops the program with SIGTERM; returns its exit code, or None if it was killed after the timeout."""
        if self.popen.poll() is None:
            self.popen.send_signal(signal.SIGTERM)
            try:
                self.popen.wait(timeout_s)
            except subprocess.TimeoutExpired:
                self.popen.kill()
                self.popen.wait()
                return None
        return self.popen.returncode

    def kill(self):
        self.popen.kill()
        self.popen.wait()


class Deployment:
    """A stand-in platform, stand-in executors, and a gate and a keeper on each entry instance."""

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

    def _write_settings(self, name, entry, role):
        """Writes a settings file that lists the local keeper first, then those of the same data centre, then the others."""
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
        path = self._write_settings(name, entry, "keeper")
        self.processes[name] = Process(name, [self._binary("mangocourse-keeper"), f"--settings={path}"], self.folder)

    def start_gate(self, entry):
        name = "gate-" + entry["name"]
        path = self._write_settings(name, entry, "gate")
        self.processes[name] = Process(name, [self._binary("mangocourse-gate"), f"--settings={path}"], self.folder)

    def ctl(self, *command, check=True):
        """Runs mangoctl and returns its standard output; raises RuntimeError if check is set and it fails."""
        argv = [self._binary("mangoctl"), f"--keepers={','.join(entry['keeper'] for entry in self.entries)}", f"--token={OPERATOR_TOKEN}", "--yes"]
        completed = subprocess.run([*argv, *command], capture_output=True, text=True, check=False, timeout=30)
        if check and completed.returncode != 0:
            raise RuntimeError(f"mangoctl {' '.join(command)}: {completed.stdout}{completed.stderr}")
        return completed.stdout

    def admin_addresses(self):
        """Returns the admin addresses of all gates and keepers."""
        return [entry["keeper"] for entry in self.entries] + [entry["admin"] for entry in self.entries]

    def await_state(self, condition, timeout_s, admin_addresses=None):
        """Polls /state until every process meets the condition; returns the seconds it took, raises RuntimeError on timeout."""
        started = time.monotonic()
        pending = list(admin_addresses or self.admin_addresses())
        while pending:
            if time.monotonic() - started > timeout_s:
                raise RuntimeError(f"condition not met within {timeout_s} s by the processes at {pending}")
            pending = [address for address in pending if not self._state_meets(address, condition)]
            if pending:
                time.sleep(0.02)
        return time.monotonic() - started

    @staticmethod
    def _state_meets(address, condition):
        try:
            return condition(http(address, "/state", token=OPERATOR_TOKEN))
        except (urllib.error.URLError, OSError, ValueError):
            return False

    def publish_fleet(self):
        """Applies the fleet file and waits until every gate can send new work to all instances."""
        self.await_state(lambda state: True, LISTEN_TIMEOUT_S)
        self.ctl("fleet", "apply", self.fleet)
        expected = json.loads(self.ctl("instances", "--output=json"))
        gates = [entry["admin"] for entry in self.entries]
        self.await_state(
            lambda state: sum(line["takes_new_work"] for line in state["executors"]) == len(expected), READY_TIMEOUT_S, gates
        )

    def stop(self):
        """Stops all processes; returns the names of the gates and keepers that did not exit with code 0."""
        unclean = []
        for entry in self.entries:
            for name in ("gate-" + entry["name"], "keeper-" + entry["name"]):
                process = self.processes[name]
                if process.popen.poll() is None:
                    process.signal(signal.SIGTERM)
        for name, process in self.processes.items():
            if process.stop() != 0:
                unclean.append(name)
        self.upstream.stop()
        self.platform.stop()
        return unclean
