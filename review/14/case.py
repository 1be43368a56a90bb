"""Three processes, nine executors, small jobs all the time and, unless TROUBLE=0, large jobs at once. See claim.txt."""
import asyncio
import json
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-3"))
sys.dont_write_bytecode = True
import fleet3

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# The large jobs: how many, work items of each, thousandths of a core and megabytes of a work item, bytes of the spec. The page has 4,000 at most.
JOBS = int(os.environ.get("JOBS", "20"))
COUNT = int(os.environ.get("COUNT", "1000"))
CPU = int(os.environ.get("CPU", "25"))
MEM_MB = 64
SPEC_BYTES = int(os.environ.get("SPEC", "4000"))
WORK_S = 1.0
LARGE_AT_S, TRAFFIC_END_S, END_S = 8.0, 40.0, 56.0
HOST, PREFIX = "desk.example", "/desk/"
# The first 16 digits of a work item's name are its job; its demand follows from that.
SMALL = {"cpu": 3500, "mem_mb": 2000}
LARGE = {"cpu": CPU, "mem_mb": MEM_MB}


async def main(directory, record):
    store = fleet3.Store(record)
    large = set()
    jobs = {}

    def demand(item):
        return LARGE if item[:16] in large else SMALL
    done = {}

    def on_end(executor, item, run, how):
        if how == "done":
            done.setdefault(item[:16], set()).add(item)
    executors = []
    for index in range(9):
        executor = fleet3.Executor("executor-%d" % index, "desk", store, record, {"cpu": 64000, "mem_mb": 262144, "gpu": 0}, ["a", "rack-%d" % (index // 4)],
                                   lambda item: WORK_S, demand)
        executor.is_verbose = False
        executor.on_end = on_end
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
        return await play(record, processes, executors, jobs, large, done)
    finally:
        for process in processes:
            await process.close()
        for supervisor in supervisors:
            supervisor.cancel()


async def submit(record, processes, jobs, job, steps, spec, is_large):
    """Hands a job in like a client: the same id again at another node after 502, 504 or no answer; 429 and 503 mean that it never runs."""
    for attempt in range(5):
        process = processes[(int(job, 16) + attempt) % len(processes)]
        status, answer = await fleet3.call(process.front, "POST", PREFIX + job, HOST, {"spec": spec, "steps": steps})
        if 200 <= status < 300:
            jobs[job] = {"at": record.now(), "count": steps[0]["count"], "is_large": is_large}
        if status not in (0, 502, 504):
            break
        await asyncio.sleep(0.3)
    record.line("POST of %s job %s at %s, attempt %d: %s" % ("large" if is_large else "small", job, process.name, attempt + 1, status or answer.decode()))


async def small_jobs(record, processes, jobs):
    calls = []
    while record.now() < TRAFFIC_END_S:
        steps = [{"count": 6, "cpu": SMALL["cpu"], "mem_mb": SMALL["mem_mb"], "estimate_ms": 1000}]
        calls.append(asyncio.create_task(submit(record, processes, jobs, fleet3.new_id(), steps, "s" * 1000, False)))
        await asyncio.sleep(0.5)
    await asyncio.gather(*calls)


async def play(record, processes, executors, jobs, large, done):
    await asyncio.sleep(6.0)
    traffic = asyncio.create_task(small_jobs(record, processes, jobs))
    await asyncio.sleep(max(0.0, LARGE_AT_S - record.now()))
    if TROUBLE:
        record.line("%d large jobs at once: %d work items each, cpu %d, mem_mb %d, spec of %d bytes" % (JOBS, COUNT, CPU, MEM_MB, SPEC_BYTES))
        ids = [fleet3.new_id() for _ in range(JOBS)]
        large.update(ids)
        steps = [{"count": COUNT, "cpu": CPU, "mem_mb": MEM_MB, "estimate_ms": int(WORK_S * 1000)}]
        await asyncio.gather(*[submit(record, processes, jobs, job, steps, "s" * SPEC_BYTES, True) for job in ids])
    await traffic
    while record.now() < END_S:
        await asyncio.sleep(2.0)
        record.line("running %d of the large and %d of the small jobs' work items; over memory so far: %s" % (
            sum(1 for executor in executors for item in executor.running if item[:16] in large),
            sum(1 for executor in executors for item in executor.running if item[:16] not in large),
            ", ".join("%s %d times" % (process.name, len(process.over_memory)) for process in processes)))
    return await judge(record, processes, jobs, done)


async def judge(record, processes, jobs, done):
    states = {}
    for job in jobs:
        for process in processes:
            status, answer = await fleet3.call(process.front, "GET", PREFIX + job, HOST)
            if status == 200:
                states[job] = json.loads(answer)["state"]
                break
            states[job] = status or answer.decode()
        if states[job] != "completed":
            record.line("GET of %s job %s, accepted at %.1f s: %s; %d of %d work items have ended done" % (
                "large" if jobs[job]["is_large"] else "small", job, jobs[job]["at"], states[job], len(done.get(job, ())), jobs[job]["count"]))
    for kind, is_large in (("small", False), ("large", True)):
        accepted = [job for job in jobs if jobs[job]["is_large"] == is_large]
        record.line("%s jobs: %d accepted, %d completed" % (kind, len(accepted), sum(1 for job in accepted if states[job] == "completed")))
    for process in processes:
        record.line("%s: over memory_mb %d times, ended by itself %d times, most memory seen %.0f MB" % (
            process.name, len(process.over_memory), len(process.own_exits), process.peak_mb))
    ended = [process for process in processes if len(process.over_memory) >= 3]
    if not any(not entry["is_large"] for entry in jobs.values()):
        record.line("CASE COULD NOT RUN: no small job was accepted")
        return 2
    if len(ended) >= 2:
        record.line("BROKEN Fault: on %d of 3 machines the process exceeded its memory three times or more, without a disturbance" % len(ended))
        return 1
    record.line("HELD Fault")
    return 0


def run():
    record = fleet3.Record(os.environ.get("RECORD", os.path.join(HERE, "record.txt")))
    try:
        if not os.access(fleet3.PROGRAM, os.X_OK):
            record.line("CASE COULD NOT RUN: the program is not built")
            return 2
        with fleet3.temporary_directory() as directory:
            return asyncio.run(asyncio.wait_for(main(directory, record), 115))
    except (OSError, asyncio.TimeoutError) as error:
        record.line("CASE COULD NOT RUN: %r" % error)
        return 2
    finally:
        record.close()


sys.exit(run())
