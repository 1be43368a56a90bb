"""Faults that overlap with all others: starved processes, connections that are held back, and a store that treats its members differently."""
import random
import signal
import subprocess
import sys
import threading
import time

FREEZE_S = (0.1, 6.0)
# A process that gets a quarter of a core runs for so long, then waits for three times as long.
STROKE_S = 0.025
HOLD_S = (1.0, 8.0)
UNLISTED_S = (1.0, 6.0)
LATE_APPEND_S = (1.0, 6.0)
LATE_ORDER_S = (2.0, 12.0)
MAX_HANG_S = 2.5
DARK_S = (0.05, 2.0)
MAX_BUSY_PROCESSES = 2
# A takeover that the old owner does not see: delay of the deal, time after it for which the owner sees nothing, and of the restarts of executors.
DEAL_S = (0.0, 0.3)
HIDDEN_S = (0.8, 3.0)
FURTHER_HIDDEN_S = 3.0
RESTART_AFTER_DEAL_S = (0.4, 2.0)
SHORT_DARK_S = (0.05, 0.4)
# Calls by which an owner learns that it has been superseded.
RENEWAL_PATHS = ("/log-join", "/log-owners", "/log-append?topic=keyed.progress")
LONGEST_FAULT_S = 6.0
BUSY_LOOP = "import time\nend = time.monotonic() + %f\nwhile time.monotonic() < end: pass"


class LateCalls:
    """Loses the answers to a share of the calls on the given paths and has them carried out later, under the conditions that hold then.

    A path may include the beginning of the query.
    """

    def __init__(self, generator, sources, paths, late_s, shares=(0.1, 0.4, 1.0)):
        self.random = random.Random(generator.random())
        self.sources = sources
        self.paths = paths
        self.late_s = late_s
        self.share = generator.choice(shares)

    def decide(self, call, _path):
        if not call.path.startswith(self.paths) or (self.sources is not None and call.source not in self.sources) or self.random.random() >= self.share:
            return None
        return self.random.uniform(*self.late_s), self.random.uniform(0.0, MAX_HANG_S)


class Refusals:
    """Refuses all calls of the given sources: with a status, by closing the connection, or without an answer until the connection is closed."""

    KINDS = (503, 429, "closed", "silent")

    def __init__(self, generator, sources):
        self.sources = sources
        self.kind = generator.choice(self.KINDS)

    def decide(self, call, _path):
        if call.source not in self.sources:
            return None
        if isinstance(self.kind, int):
            return self.kind
        return None, 0.0 if self.kind == "closed" else MAX_HANG_S


class Overlaps:
    """Four sources of faults for a soak. Each has generators and times of its own, so that their faults overlap with those of any other source."""

    def __init__(self, soak, seed):
        self.soak = soak
        self.sources = [(random.Random("overlaps %s %d" % (kinds.__name__, seed)), kinds)
                        for kinds in (self.find_process_kinds, self.find_connection_kinds, self.find_store_kinds, self.find_takeover_kinds)]

    def make_sources(self, first_at):
        return [[generator, kinds, LONGEST_FAULT_S, first_at] for generator, kinds in self.sources]

    def add_recovery(self, after_s, recover):
        self.soak.recoveries.append((time.monotonic() + after_s, recover))

    def start(self, stand_in, fault, proxies=()):
        for proxy in proxies:
            proxy.reset()
        stand_in.faults.append(fault)
        return lambda: stand_in.faults.remove(fault)

    def hold(self, generator, proxies):
        """Holds connections of the proxies back for a time of their own."""
        direction = generator.choice(["both", "requests", "answers"])
        share = generator.choice([0.3, 0.6, 1.0])
        holds_new = generator.random() < 0.5
        for proxy in proxies:
            hold = proxy.hold(random.Random(generator.random()), direction, share, holds_new)
            self.add_recovery(generator.uniform(*HOLD_S), hold.end)

    def restart_unlisted(self, generator, number, dark_s):
        """Restarts an executor, mostly behind held connections; the store lists its next incarnation only seconds later."""
        target = self.soak.executors[number]
        if generator.random() < 0.7:
            self.hold(generator, [self.soak.executor_proxies[number]])
        is_listed = target.is_listed
        target.is_listed = False
        target.keeps_calls = generator.random() < 0.5
        target.crash()

        def come_back():
            target.restart()
            target.keeps_calls = False

        self.add_recovery(dark_s, come_back)
        self.add_recovery(dark_s + generator.uniform(*UNLISTED_S), target.list_again if is_listed else lambda: None)

    def find_process_kinds(self, generator, process, _executor, _executor_proxy):
        processes = self.soak.processes

        def freeze_some():
            for target in generator.sample(processes, generator.randint(1, len(processes))):
                target.freeze()
                self.add_recovery(generator.uniform(*FREEZE_S), target.thaw)
            return lambda: None

        def freeze_in_strokes():
            targets = generator.sample(processes, generator.randint(1, len(processes)))
            is_over = threading.Event()

            def alternate(target):
                while not is_over.is_set():
                    target.freeze()
                    time.sleep(3 * STROKE_S)
                    target.thaw()
                    time.sleep(STROKE_S)

            for target in targets:
                threading.Thread(target=alternate, args=(target,), daemon=True).start()
            return is_over.set

        def run_busy_processes():
            children = [subprocess.Popen([sys.executable, "-c", BUSY_LOOP % LONGEST_FAULT_S]) for _ in range(generator.randint(1, MAX_BUSY_PROCESSES))]
            return lambda: [(child.kill(), child.wait()) for child in children]

        def kill_frozen():
            process.freeze()
            self.add_recovery(generator.uniform(*FREEZE_S), lambda: (process.send_signal(signal.SIGKILL), process.thaw()))
            return lambda: None

        return {"processes frozen": freeze_some, "processes in strokes": freeze_in_strokes, "busy processes": run_busy_processes,
                "process frozen, then killed": kill_frozen}

    def find_connection_kinds(self, generator, _process, executor, executor_proxy):
        pool = [number for number, target in enumerate(self.soak.executors) if target.service == executor.service]

        def hold_pool():
            self.hold(generator, [self.soak.executor_proxies[number] for number in pool])
            return lambda: None

        def hold_one():
            self.hold(generator, [executor_proxy])
            return lambda: None

        def hold_store():
            self.hold(generator, [target.proxy for target in generator.sample(self.soak.processes, generator.randint(1, len(self.soak.processes)))])
            return lambda: None

        def restart_one():
            self.restart_unlisted(generator, self.soak.executors.index(executor), generator.uniform(*DARK_S))
            return lambda: None

        def restart_some():
            for number in generator.sample(pool, generator.randint(1, len(pool) - 1)):
                self.restart_unlisted(generator, number, generator.uniform(*DARK_S))
            return lambda: None

        def delay_orders(targets):
            paths = generator.choice([("/run-start",), ("/run-start", "/run-stop"), ("/",)])
            ends = [self.start(target, LateCalls(generator, None, paths, LATE_ORDER_S)) for target in targets]
            return lambda: [end() for end in ends]

        return {"pool held back": hold_pool, "executor held back": hold_one, "store held back": hold_store,
                "executor restarts unlisted": restart_one, "executors restart unlisted": restart_some,
                "executor's orders late": lambda: delay_orders([executor]),
                "pool's orders late": lambda: delay_orders([self.soak.executors[number] for number in pool])}

    def find_store_kinds(self, generator, _process, _executor, _executor_proxy):
        processes = self.soak.processes
        store = self.soak.store

        def choose_some():
            return generator.sample(processes, generator.randint(1, len(processes) - 1))

        def refuse_some():
            targets = choose_some()
            resets = [target.proxy for target in targets] if generator.random() < 0.5 else []
            return self.start(store, Refusals(generator, {target.host for target in targets}), resets)

        def deal_anew():
            store.deal_anew()
            return lambda: None

        def deal_behind_hold():
            self.hold(generator, [target.proxy for target in choose_some()])
            self.add_recovery(generator.uniform(0.0, 0.5), store.deal_anew)
            return lambda: None

        def delay_appends():
            targets = processes if generator.random() < 0.5 else choose_some()
            return self.start(store, LateCalls(generator, {target.host for target in targets}, ("/log-append",), LATE_APPEND_S))

        return {"store refuses some": refuse_some, "partitions dealt anew": deal_anew, "partitions dealt anew behind a hold": deal_behind_hold,
                "appends late": delay_appends}

    def find_takeover_kinds(self, generator, _process, executor, _executor_proxy):
        """Owners that don't learn of their successors, beside executors whose next incarnations the successors have not called."""
        soak = self.soak
        pool = [number for number, target in enumerate(soak.executors) if target.service == executor.service]

        def take_over(hide):
            deal_s = generator.uniform(*DEAL_S)
            for target in generator.sample(soak.processes, generator.randint(1, len(soak.processes) - 1)):
                hide(target, deal_s + generator.uniform(*HIDDEN_S))
            self.add_recovery(deal_s, soak.store.deal_anew)
            for number in generator.sample(pool, generator.randint(1, len(pool) - 1)):
                self.add_recovery(deal_s + generator.uniform(*RESTART_AFTER_DEAL_S),
                                  lambda number=number, dark_s=generator.uniform(*SHORT_DARK_S): self.restart_for_some(generator, number, dark_s))
            return lambda: None

        def freeze(target, seconds):
            target.freeze()
            self.add_recovery(seconds, target.thaw)

        def hold_answers_of_store(target, seconds):
            hold = target.proxy.hold(random.Random(generator.random()), "answers", 1.0, True)
            self.add_recovery(seconds, hold.end)

        def lose_answers_to_renewals(target, seconds):
            # The streams can still be read, so that the owner goes on for as long as its last renewal allows.
            fault = LateCalls(generator, {target.host}, RENEWAL_PATHS, (0.0, 0.0), (1.0,))
            self.add_recovery(seconds + generator.uniform(0.0, FURTHER_HIDDEN_S), self.start(soak.store, fault))

        return {"takeover from owners without renewals, executors restart": lambda: take_over(lose_answers_to_renewals),
                "takeover from frozen owners, executors restart": lambda: take_over(freeze),
                "takeover from cut off owners, executors restart": lambda: take_over(hold_answers_of_store)}

    def restart_for_some(self, generator, number, dark_s):
        """Restarts an executor; some of the processes learn of it only later, and their calls don't reach its next incarnation until then."""
        target = self.soak.executors[number]
        if target.is_up:
            hold = self.soak.executor_proxies[number].hold(random.Random(generator.random()), "both", 0.6, False)
            self.add_recovery(generator.uniform(*HIDDEN_S), hold.end)
            target.crash()
            self.add_recovery(dark_s, target.restart)
