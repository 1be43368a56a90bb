"""A route that a version of the configuration replaces by another, and machines that are stopped and started in turn while a job of it runs."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
sys.dont_write_bytecode = True
from standin import BOUNDS, CannotRun, Executor, run_case  # noqa: E402

SERVICE = "sorting-desk"
MAX_ATTEMPTS = 3
JOB = "0000000000000d01"
BODY = {"spec": "photo", "steps": [{"count": 1, "cpu": 3500, "mem_mb": 256, "estimate_ms": 25000}]}


async def case(world):
    world.executors = [Executor(world, "i-%d" % number, SERVICE) for number in range(3)]
    # The first run of the work item ends failed after 25 s, the next one done after 2 s.
    world.work = lambda task, run: (25.0, "failed", 3500, 256) if not world.starts else (2.0, "done", 3500, 256)
    ends = []
    base_end = world.on_end

    def on_end(executor, task, run, how):
        base_end(executor, task, run, how)
        ends.append((task, run, how))

    world.on_end = on_end
    world.configure([("r-brick", "/brick/", SERVICE, {"max_attempts": MAX_ATTEMPTS})], [SERVICE])
    await world.start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
    await world.submit(world.fronts[0], "/brick/" + JOB, BODY)
    await asyncio.sleep(1.0)
    if not world.starts:
        raise CannotRun("the work item has not started")
    # Planned work: a version removes the route and adds another for the same path and service.
    if world.trouble:
        world.configure([("r-brick-2", "/brick/", SERVICE, {"max_attempts": MAX_ATTEMPTS})], [SERVICE])
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 1.0)
    # Planned work: the machines are stopped and started in turn. With TROUBLE=0 too.
    for front in world.fronts:
        front.send(signal.SIGTERM)
        if await front.wait_for_end(BOUNDS["grace_s"]) is None:
            front.send(signal.SIGKILL)
            await front.wait_for_end(1.0)
        front.start()
        await world.wait_until_ready([front])
    deadline = time.monotonic() + 45.0
    while not any(how == "failed" for _, _, how in ends) and time.monotonic() < deadline:
        await asyncio.sleep(0.1)
    if [how for _, _, how in ends] != ["failed"]:
        raise CannotRun("the first run has not ended failed, but %s" % ends)
    await asyncio.sleep(BOUNDS["finish_s"] + 2.0)
    answer = await world.call(world.fronts[0], "GET", "/brick/" + JOB)
    failed = len([1 for _, _, how in ends if how == "failed"])
    if answer is not None and answer[0] == 200 and answer[1].get("state") == "failed" and failed < MAX_ATTEMPTS:
        world.broken("LOST", "the accepted job %s is shown as failed after %d failed run of %d" % (JOB, failed, MAX_ATTEMPTS))
    elif answer is None or answer[1].get("state") != "completed":
        raise CannotRun("the job is answered %s" % (answer,))


run_case(case, os.path.join(HERE, "record.txt"), 2)
