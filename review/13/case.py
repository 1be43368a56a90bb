"""Three processes, seven executors, one job that runs twice in turn (repeat_count 2). See claim.txt."""
import asyncio
import json
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
sys.dont_write_bytecode = True
import fleet3

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Bounds of the site kocka-znova-large.
fleet3.BOUNDS.update(contact_ms=5000, ack_ms=8000, drain_ms=4000, config_apply_ms=4000, max_stretch_ms=8000, recover_s=15, stop_ms=900, gang_ms=5000,
                     cancel_ms=5000, checkpoint_s=1, restore_ms=250, cross_rack_factor=1.5, notice_ms=6500, harm_ms=5000)
# The store turns the owner away from its first join after CUT_AT_S on; the second time of the job is due at DUE_S.
CUT_AT_S, REFUSED_S = 16.0, 9.0
DUE_S = CUT_AT_S + 2.2
# After the cut the executor crashes and starts again; its first report reaches the store a while after its start (heartbeat_ms is 1,500).
CRASH_AFTER_S, DOWN_S, REPORT_AFTER_S = 1.55, 0.2, 1.0
WORK_S = 2.0
HOST, PREFIX = "desk.example", "/desk/"


class RestartingExecutor(fleet3.Executor):
    """Starts again under its id and at its address: it then holds and knows nothing of before."""

    async def crash(self, down_s, report_after_s):
        self.record.line("%s crashes" % self.name)
        for task in self.tasks:
            task.cancel()
        for item in list(self.running):
            self.running.pop(item)["timer"].cancel()
            self.on_crash(self, item)
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        await asyncio.sleep(down_s)
        self.born, self.boot = int(time.time() * 1000), time.monotonic()
        self.token, self.lease, self.end_count, self.sequence = 0, 0, 0, 0
        self.highest, self.ends, self.ended_at = {}, [], {}
        await self.listen()
        self.tasks = [asyncio.create_task(self.watch())]
        self.record.line("%s has started again, born %d" % (self.name, self.born))
        await asyncio.sleep(report_after_s)
        self.record.line("%s reports to the store" % self.name)
        self.tasks.append(asyncio.create_task(self.beat()))


async def main(directory, record):
    store = fleet3.Store(record)
    state = {"owner": None, "cut_at": None, "twice": [], "done": {}}
    wall = time.time() - record.now()
    active = {}
    job = fleet3.new_id()

    def on_start(executor, item, run):
        others = active.setdefault(item, {})
        if others:
            state["twice"].append("%s: run %d starts on %s while run %d is at work on %s" % (
                item, run, executor.name, *reversed(list(others.items())[0])))
            record.line("TWICE " + state["twice"][-1])
        others[executor.name] = run

    def on_end(executor, item, run, how):
        active.get(item, {}).pop(executor.name, None)
        if how == "done":
            state["done"].setdefault(item, []).append((executor.name, run))
    executors = []
    sizes = [("executor-small", 32000), ("executor-restarting", 64000)] + [("executor-large-%d" % number, 128000) for number in range(5)]
    for name, cpu in sizes:
        kind = RestartingExecutor if name == "executor-restarting" else fleet3.Executor
        executor = kind(name, "desk", store, record, {"cpu": cpu, "mem_mb": 262144, "gpu": 0}, ["a", "rack-0"], lambda item: WORK_S,
                        lambda item: {"cpu": 3500, "mem_mb": 2000})
        executor.on_start, executor.on_end = on_start, on_end
        executor.on_crash = lambda crashed, item: active.get(item, {}).pop(crashed.name, None)
        await executor.open()
        executors.append(executor)
    small, restarting = executors[:2]
    # The first run of the first occurrence fails by its own fault, and so do 3 in 100 on the site.
    small.fails.add("%s.0.0.0" % job)
    store.put("keyed.op", "config", {
        "version": 1, "services": [{"name": "desk", "health_path": "/health", "max_conns": 64, "rejects_overload": True}], "limits": {},
        "routes": [{"name": "desk", "host": HOST, "path_prefix": PREFIX, "service": "desk", "priority": 0, "max_attempts": 3, "slack_factor": 3.0,
                    "target_latency_ms": 600, "timeout_ms": 3000}]})

    def on_append(name, topic, part, keys):
        # The owner of the pool writes the progress of its jobs.
        if topic == "keyed.progress" and any(job in key for key in keys):
            state["owner"] = name

    def on_join(name, group, parts):
        if state["cut_at"] is None and record.now() >= CUT_AT_S and name == state["owner"] and any(row[0] == "keyed.jobs" for row in parts):
            state["cut_at"] = record.now()
            if TROUBLE:
                store.refused_until[name] = record.now() + REFUSED_S
                record.line("the store turns %s away for %.1f s" % (name, REFUSED_S))
    store.on_append, store.on_join = on_append, on_join
    processes = []
    for index in range(3):
        process = fleet3.Process("front-%d" % index, await store.open_for("front-%d" % index), directory, record)
        processes.append(process)
        await process.open()
    supervisors = [asyncio.create_task(process.supervise()) for process in processes]
    try:
        await asyncio.sleep(4.0)
        first = int((wall + 8.0) * 1000)
        body = {"spec": "x", "steps": [{"count": 1, "cpu": 3500, "mem_mb": 2000, "estimate_ms": int(WORK_S * 1000)}], "repeat_count": 2, "first_run_ms": first,
                "interval_ms": int((wall + DUE_S) * 1000) - first}
        status, _ = await fleet3.call(processes[0].front, "POST", PREFIX + job, HOST, body)
        record.line("POST of job %s, due at 8.0 s and at %.2f s: %s" % (job, DUE_S, status))
        crash = None
        while record.now() < CUT_AT_S + 22:
            await asyncio.sleep(0.01)
            if crash is None and state["cut_at"] is not None and record.now() >= state["cut_at"] + CRASH_AFTER_S and TROUBLE:
                crash = asyncio.create_task(restarting.crash(DOWN_S, REPORT_AFTER_S))
        if crash is not None:
            await crash
        status, answer = await fleet3.call(processes[0].front, "GET", PREFIX + job, HOST)
        record.line("GET of job %s: %s %s" % (job, status, answer.decode()))
        if state["cut_at"] is None or "%s.0.0.0" % job not in state["done"]:
            record.line("CASE COULD NOT RUN: the first occurrence was not done")
            return 2
        for item, ends in state["done"].items():
            record.line("%s has ended done: %s" % (item, ", ".join("run %d on %s" % (run, name) for name, run in ends)))
        if state["twice"]:
            record.line("BROKEN TWICE: " + state["twice"][0])
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
            return asyncio.run(asyncio.wait_for(main(directory, record), 110))
    except (OSError, asyncio.TimeoutError) as error:
        record.line("CASE COULD NOT RUN: %r" % error)
        return 2
    finally:
        record.close()


sys.exit(run())
