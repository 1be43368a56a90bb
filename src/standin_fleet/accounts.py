"""Client accounts of the fault soak: keys that are added and withdrawn during the run, and the check of what they give access to."""
import random
import threading
import time

ACCOUNT_COUNT = 3
OPEN_PREFIX = "/open/"
# A change of the configuration takes effect within this time after its publication, at a process that nothing disturbs.
APPLY_S = 3.0
# Time between two changes, each of which gives one account a new key and withdraws its oldest.
CHANGE_INTERVAL_S = (3.5, 6.0)
PROBE_INTERVAL_S = 0.1


class Accounts:
    """The accounts of the published configuration. Each has two keys: callers use the older one, which has been in force since an earlier change."""

    def __init__(self, seed):
        self.random = random.Random("accounts %d" % seed)
        self.lock = threading.Lock()
        self.count = 0
        self.keys = {"account-%d" % number: [self.make_key(), self.make_key()] for number in range(ACCOUNT_COUNT)}
        # For each key, when it was published, and when the configuration without it was.
        self.added = {}
        self.withdrawn = {}

    def make_key(self):
        self.count += 1
        return "key-%d-%016x" % (self.count, self.random.getrandbits(64))

    def change(self):
        with self.lock:
            keys = self.keys[self.random.choice(list(self.keys))]
            keys.pop(0)
            keys.append(self.make_key())

    def encode(self):
        with self.lock:
            return [{"name": name, "api_keys": list(keys), "weight": 1} for name, keys in self.keys.items()]

    def note_published(self, tenants):
        """Records that a configuration with these accounts has been acknowledged by the store."""
        now = time.monotonic()
        published = {key for tenant in tenants for key in tenant["api_keys"]}
        with self.lock:
            for key in published:
                self.added.setdefault(key, now)
            for key in self.added:
                if key not in published:
                    self.withdrawn.setdefault(key, now)

    @staticmethod
    def account_of(job):
        """Returns the account of a job; the first six digits of its ID are the number of its caller."""
        return "account-%d" % (int(job[:6], 16) % ACCOUNT_COUNT)

    def key_for(self, path):
        """Returns the key that the caller of a job uses, or that of any account if the path names no job."""
        job = path.rsplit("/", 1)[1]
        with self.lock:
            return self.keys[self.account_of(job) if job else "account-0"][0]

    def judge(self, key, status, sent_at, answered_at, calm_s):
        """Returns what is wrong with the answer to a GET of a queue's count, or None. The answering process has been undisturbed for calm_s."""
        with self.lock:
            added, withdrawn = self.added.get(key), self.withdrawn.get(key)
        calm_since = answered_at - calm_s
        if status == 200 and added is None:
            return "a key that was never published gives access"
        if status == 200 and withdrawn is not None and sent_at - max(withdrawn, calm_since) > APPLY_S:
            return "a key gives access %.2f s after it was withdrawn" % (sent_at - withdrawn)
        is_valid = added is not None and (withdrawn is None or answered_at < withdrawn)
        if status == 401 and is_valid and sent_at - max(added, calm_since) > APPLY_S:
            return "a valid key is answered 401, %.2f s after it was published" % (sent_at - added)
        return None


class AccountCheck(threading.Thread):
    """Changes keys, asks random processes with keys of all kinds, and reports answers that the keys do not warrant."""

    def __init__(self, soak, accounts, caller):
        super().__init__(daemon=True)
        self.soak = soak
        self.accounts = accounts
        self.caller = caller
        self.random = random.Random(accounts.random.getrandbits(64))
        self.is_stopped = threading.Event()
        self.answers = {}

    def run(self):
        next_change_at = time.monotonic()
        while not self.is_stopped.wait(PROBE_INTERVAL_S):
            if time.monotonic() > next_change_at:
                self.accounts.change()
                self.soak.publish_configuration()
                next_change_at = time.monotonic() + self.random.uniform(*CHANGE_INTERVAL_S)
            self.random.choice([self.probe_key, self.probe_key, self.probe_foreign_job, self.probe_public_queue])()

    def ask(self, path, key):
        """Returns the status, when the request was sent and answered, and for how long all processes have been undisturbed then."""
        sent_at = time.monotonic()
        answer = self.caller.call("GET", path, key=key)
        answered_at = time.monotonic()
        status = answer and answer[0]
        self.answers[status] = self.answers.get(status, 0) + 1
        return status, sent_at, answered_at, self.soak.measure_calm(answered_at)

    def probe_key(self):
        with self.accounts.lock:
            current = [key for keys in self.accounts.keys.values() for key in keys]
            withdrawn = list(self.accounts.withdrawn)
        key = self.random.choice([self.random.choice(current), self.random.choice(withdrawn or current), "never-published", ""])
        problem = self.accounts.judge(key, *self.ask("/counter/", key))
        if problem:
            self.soak.checker.report_violation("KEY: %s" % problem)

    def probe_foreign_job(self):
        with self.soak.checker.lock:
            jobs = [(job, record["prefix"]) for job, record in self.soak.checker.jobs.items() if record.get("accepted")]
        if not jobs:
            return
        job, prefix = self.random.choice(jobs)
        with self.accounts.lock:
            key = self.random.choice([keys[0] for name, keys in self.accounts.keys.items() if name != self.accounts.account_of(job)])
        if self.ask(prefix + job, key)[0] == 200:
            self.soak.checker.report_violation("KEY: %s is shown to another account" % job)

    def probe_public_queue(self):
        status, _, _, calm_s = self.ask(OPEN_PREFIX, self.random.choice(["", "never-published"]))
        if status == 401 or (status != 200 and calm_s > APPLY_S):
            self.soak.checker.report_violation("KEY: a call on a public queue without a key is answered %s" % status)
