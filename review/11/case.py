"""Three processes, three executors, one job; the process that owns the pool is killed once while the work items run. See claim.txt."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
sys.dont_write_bytecode = True
import fleet3

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
EXECUTORS = 3
COUNT = int(os.environ.get("COUNT", "1860"))
# A tenth of a core: 640 work items fit an executor, more than one answer of it lists ends.
NEED = {"cpu": 100, "mem_mb": 256}
WORK_S = float(os.environ.get("WORK_S", "1.0"))
HOST, PREFIX = "desk.example", "/desk/"


class Judge:
    """The rule TWICE, as far as the executors see it. Ends that are taken note of after the executor's lease lapsed don't count."""

    def __init__(self, record):
        self.record = record
        self.at_work = {}
        # By work item: the executor, the run and the time of its first end `done`, and the starts that came after it.
        self.done = {}
        self.later_starts = {}
        self.noted = set()
        self.at_once = []

    def started(self, executor, item, run):
        others = self.at_work.setdefault(item, {})
        if others:
            self.at_once.append(item)
            self.record.line("run %d of %s starts on %s while it is at work on %s" % (run, item, executor.name, ", ".join(others)))
        others[executor.name] = run
        if item in self.done:
            self.later_starts.setdefault(item, []).append((run, executor.name))

    def ended(self, executor, item, run, how):
        self.at_work.get(item, {}).pop(executor.name, None)
        if how == "done":
            self.done.setdefault(item, (executor.name, run, self.record.now()))

    def acknowledged(self, executor, end, ended_at):
        if end[3] == "done" and executor.lapsed_at < ended_at:
            self.noted.add(end[1])

    def broken(self):
        """Returns the work items that started after an end `done` that was taken note of then or later."""
        return sorted(item for item in self.later_starts if item in self.noted)


async def main(directory, record):
    store = fleet3.Store(record)
    judge = Judge(record)
    owner = {}
    job = fleet3.new_id()

    def on_append(name, topic, part, keys):
        # The owner of the pool writes the progress of its jobs.
        if topic == "keyed.progress" and any(job in key for key in keys):
            owner["name"] = name
    store.on_append = on_append
    executors = []
    for index in range(EXECUTORS):
        executor = fleet3.Executor("executor-%d" % index, "desk", store, record, {"cpu": 64000, "mem_mb": 262144, "gpu": 0}, ["a", "rack-0"],
                                   lambda item: WORK_S, lambda item: NEED)
        executor.is_verbose = False
        executor.on_start, executor.on_end, executor.on_acknowledged = judge.started, judge.ended, judge.acknowledged
        await executor.open()
        executors.append(executor)
    store.put("keyed.op", "config", {
        "version": 1, "services": [{"name": "desk", "health_path": "/health", "max_conns": 64, "rejects_overload": True}], "limits": {},
        "routes": [{"name": "desk", "host": HOST, "path_prefix": PREFIX, "service": "desk", "priority": 0, "max_attempts": 3, "slack_factor": 3.0,
                    "target_latency_ms": 600, "timeout_ms": 3000}]})
    processes = []
    for index in range(3):
        process = fleet3.Process("front-%d" % index, await store.open_for("front-%d" % index), directory, record)
        processes.append(process)
        await process.open()
    supervisors = [asyncio.create_task(process.supervise()) for process in processes]
    try:
        await asyncio.sleep(6.0)
        steps = [{"count": COUNT, "cpu": NEED["cpu"], "mem_mb": NEED["mem_mb"], "estimate_ms": int(WORK_S * 1000)}]
        status, _ = await fleet3.call(processes[0].front, "POST", PREFIX + job, HOST, {"spec": "s" * 1000, "steps": steps})
        record.line("POST of job %s, %d work items: %s" % (job, COUNT, status))
        while record.now() < 20 and sum(executor.started for executor in executors) < COUNT:
            await asyncio.sleep(0.005)
        record.line("started so far: %s" % ", ".join("%s %d" % (executor.name, executor.started) for executor in executors))
        if sum(executor.started for executor in executors) < COUNT or "name" not in owner:
            record.line("CASE COULD NOT RUN: not all work items have started")
            return 2
        if TROUBLE:
            for process in processes:
                if process.name == owner["name"]:
                    record.line("%s owns the pool: killed" % process.name)
                    process.expected = True
                    process.child.kill()
        state = None
        while record.now() < 40 and state != "completed":
            await asyncio.sleep(0.5)
            status, answer = await fleet3.call(processes[0].front, "GET", PREFIX + job, HOST)
            state = json.loads(answer).get("state") if status == 200 else status
        await asyncio.sleep(2.0)
        record.line("GET of job %s: %s" % (job, state))
        for executor in executors:
            record.line("%s: %d starts, %d ends listed in all, lease lapsed last at %.3f s" % (executor.name, executor.started, executor.end_count,
                                                                                               max(0.0, executor.lapsed_at)))
        broken = judge.broken()
        record.line("work items that ended done: %d; started after that: %d, of which the end was taken note of: %d; at work twice at a time: %d" % (
            len(judge.done), len(judge.later_starts), len(broken), len(judge.at_once)))
        for item in broken[:20]:
            name, run, at = judge.done[item]
            record.line("%s: run %d ended done on %s at %.3f s; started again as run %d on %s" % (
                item, run, name, at, judge.later_starts[item][0][0], judge.later_starts[item][0][1]))
        if broken or judge.at_once:
            record.line("BROKEN TWICE: %d work items" % len(set(broken) | set(judge.at_once)))
            return 1
        record.line("HELD TWICE")
        return 0
    finally:
        for process in processes:
            await process.close()
        for supervisor in supervisors:
            supervisor.cancel()


def run():
    record = fleet3.Record(os.environ.get("RECORD", os.path.join(HERE, "record.txt")))
    try:
        if not os.access(fleet3.PROGRAM, os.X_OK):
            record.line("CASE COULD NOT RUN: the program is not built")
            return 2
        with fleet3.temporary_directory() as directory:
            return asyncio.run(asyncio.wait_for(main(directory, record), 100))
    except (OSError, asyncio.TimeoutError) as error:
        record.line("CASE COULD NOT RUN: %r" % error)
        return 2
    finally:
        record.close()


sys.exit(run())
