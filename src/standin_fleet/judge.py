"""Judges the fault soak: what callers were told and what executors run, against the promises to callers."""
import json
import threading
import time
import urllib.request

from fleet import CAPACITY

SERVICE_BY_PREFIX = {"/counter/": "desk", "/shop/": "shop"}
MAX_ATTEMPTS = 3
# Answers that promise that a job was not accepted and never runs.
REFUSALS = (429, 503)
# Work of a cancelled job may start up to this long after the confirmation: the documented bound plus the longest outage plus a takeover.
MAX_START_AFTER_CANCEL_S = 14.0
# Work that could run may wait for this long, in a stretch that has been calm for CALM_S before. A lasting item restarts within LASTING_RESTART_S.
MAX_WAIT_S = 3.0
CALM_S = 4.0
LASTING_RESTART_S = 6.0
LOOK_INTERVAL_S = 0.2
# A job's state is asked for until a process answers, for this long.
OBSERVER_TIMEOUT_S = 4.0
OBSERVER_RETRY_S = 0.02


class InvariantChecker:
    """Records the runs that executors start and end and the answers that callers get, and reports violated guarantees."""

    def __init__(self):
        self.lock = threading.Lock()
        self.started_at = time.monotonic()
        self.violations = []
        self.running = {}
        self.completed = set()
        self.noted = set()
        self.failures = {}
        self.last_ends = {}
        # For each item, when its last run started, and where.
        self.last_starts = {}
        self.jobs = {}
        # For each job, the records of it that are stored: (host of the process, its incarnation, time at which it sent the record).
        self.records = {}

    def report_violation(self, what):
        self.violations.append("%.2f s: %s" % (time.monotonic() - self.started_at, what))

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
            self.last_starts[item] = (time.monotonic(), executor, run)
            job = self.jobs.setdefault(item.split(".")[0], {})
            job["started"] = True
            self.judge_refusal(item.split(".")[0])
            if "submitted" not in job:
                self.report_violation("UNASKED: %s was never submitted" % item)
            if time.monotonic() - job.get("cancelled", time.monotonic()) > MAX_START_AFTER_CANCEL_S:
                self.report_violation("UNASKED: %s starts long after its job was cancelled" % item)

    def run_ended(self, item, executor, _run, _outcome):
        with self.lock:
            self.running.get(item, {}).pop(executor, None)
            self.last_ends[item] = time.monotonic()

    def end_acknowledged(self, item, outcome, is_noted, ended_at):
        """Records an end that an executor may forget; it isn't noted, in the words of the rules, if the lease expired between the end and now."""
        with self.lock:
            if outcome == "done":
                self.completed.add(item)
                if is_noted and item not in self.noted:
                    self.noted.add(item)
                    started_at, executor, run = self.last_starts.get(item, (ended_at, "", 0))
                    if started_at > ended_at:
                        self.report_violation("TWICE: %s run %d started on %s at %.2f s, after its end at %.2f s, which is acknowledged" % (
                            item, run, executor, started_at - self.started_at, ended_at - self.started_at))
            elif outcome == "failed":
                self.failures[item] = self.failures.get(item, 0) + 1

    def clear_executor(self, executor):
        with self.lock:
            for item, active_runs in self.running.items():
                if active_runs.pop(executor, None) is not None:
                    self.last_ends[item] = time.monotonic()

    def attempt_ended(self, job, attempt, status, answered_by):
        """Records the answer to an attempt to submit a job, from the incarnation answered_by of the process."""
        with self.lock:
            attempt.update(status=status, answered_at=time.monotonic(), answered_by=answered_by)
            self.judge_attempts(job)

    def submission_ended(self, job):
        """Records that the caller makes no further attempts."""
        with self.lock:
            self.jobs[job]["is_given_up"] = True
            self.judge_refusal(job)

    def record_stored(self, key, host, incarnation, sent_at):
        with self.lock:
            self.records.setdefault(key, []).append((host, incarnation, sent_at))
            self.judge_attempts(key)

    def judge_refusal(self, job):
        """Reports a job that started although all its attempts were refused. Call it with the lock held."""
        record = self.jobs[job]
        attempts = record.get("attempts", [])
        if record.get("started") and record.get("is_given_up") and all(attempt["status"] in REFUSALS for attempt in attempts):
            self.report_refusal("REFUSED: %s was refused each time, and it started" % job, job)

    def judge_attempts(self, job):
        """Reports refused attempts whose process had sent a record that is stored. Call it with the lock held.

        A process also appends the records that others relay to it, so a record that it sends after the refused attempt may be that of an attempt elsewhere
        that was not refused.
        """
        attempts = self.jobs.get(job, {}).get("attempts", [])
        self.judge_relayed_records(job, attempts)
        for refused in [attempt for attempt in attempts if attempt["status"] in REFUSALS]:
            for host, incarnation, sent_at in self.records.get(job, []):
                if (host, incarnation) != (refused["host"], refused["answered_by"]):
                    continue
                # The record is that of an earlier attempt, or of one of several that were all refused.
                senders = [attempt for attempt in attempts if attempt["sent_at"] <= sent_at
                           and (attempt["host"] == host or attempt["status"] not in REFUSALS)]
                if sent_at <= refused["sent_at"] or all(attempt["status"] in REFUSALS for attempt in senders):
                    self.report_refusal("RECORD: %s was refused by %s, whose record of it was sent at %.2f s and is stored" % (
                        job, refused["process"], sent_at - self.started_at), job)

    def judge_relayed_records(self, job, attempts):
        """Reports a record that a process stored which no attempt had reached, though all attempts until then were refused: one of them relayed it."""
        for host, _incarnation, sent_at in self.records.get(job, []):
            earlier = [attempt for attempt in attempts if attempt["sent_at"] <= sent_at]
            is_relayed = earlier and all(attempt["host"] != host for attempt in earlier)
            if is_relayed and all(attempt["status"] in REFUSALS for attempt in earlier):
                self.report_refusal("RECORD: %s was refused each time, and its record was relayed at %.2f s and is stored" % (
                    job, sent_at - self.started_at), job)

    def report_refusal(self, what, job):
        """Reports a kind of violation once for each job, with the job's attempts so far."""
        reported = self.jobs[job].setdefault("reported", set())
        if what.split(":")[0] in reported:
            return
        reported.add(what.split(":")[0])
        rows = ["%.2f-%.2f s %s %s" % (other["sent_at"] - self.started_at, other.get("answered_at", time.monotonic()) - self.started_at, other["process"],
                                       other["status"]) for other in self.jobs[job]["attempts"]]
        self.report_violation("%s; attempts: %s" % (what, ", ".join(rows)))

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
        self.observer_timeout_s = OBSERVER_TIMEOUT_S
        self.judged_s = 0.0
        self.longest_wait_s = 0.0
        # Longest time that the store took to answer in a calm stretch: the stand-ins' own share of a wait.
        self.longest_answer_s = 0.0
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
                self.measure_answer()
            previous_look_at = now

    def measure_answer(self):
        asked_at = time.monotonic()
        try:
            with urllib.request.urlopen("http://%s/log-owners?group=owners" % self.soak.store.address) as answer:
                answer.read()
            self.longest_answer_s = max(self.longest_answer_s, time.monotonic() - asked_at)
        except OSError:
            # A fault of the store has begun.
            pass

    @staticmethod
    def count_places(room, step, taken):
        """Returns how many items of the step fit into the room beside what runs there."""
        places = 0
        for executor, free in room.items():
            if step.get("requires", executor) != executor:
                continue
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

    def ask_state(self, path):
        """Returns the answer of the first process that gives one, or None. Kept connections to processes that have restarted since fail at once."""
        deadline = time.monotonic() + self.observer_timeout_s
        answer = self.soak.observer.call("GET", path)
        while answer is None and time.monotonic() < deadline:
            time.sleep(OBSERVER_RETRY_S)
            answer = self.soak.observer.call("GET", path)
        return answer

    def report(self, item, record, step, places, since):
        """Reports the item as lost, unless callers see that its job has ended: not all ends that executors forgot in a crash are known here."""
        self.reported.add(item)
        answer = self.ask_state(record["prefix"] + item.split(".")[0])
        state = json.loads(answer[1] or b"{}").get("state") if answer and answer[0] == 200 else answer
        if state in ("completed", "failed", "cancelled") and not record["is_lasting"]:
            record["is_over"] = True
            return
        self.soak.checker.report_violation("LOST: %s could run and doesn't since %.2f s, with room for it %d times; it needs %s and is %s (%s); free: %s" % (
            item, since - self.soak.checker.started_at, places, {name: step[name] for name in CAPACITY}, state, "lasting" if record["is_lasting"] else "finite",
            self.soak.measure_room(SERVICE_BY_PREFIX[record["prefix"]])))
