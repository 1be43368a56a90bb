"""A job whose progress outgrows one record of the store."""
import asyncio
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
sys.dont_write_bytecode = True
from standin import BOUNDS, CannotRun, Executor, run_case  # noqa: E402

LARGE_ITEMS = 32000
USUAL_ITEMS = 16000
LARGE = "00000000000000a1"


async def case(world):
    world.executors = [Executor(world, "i-%d" % number, "sorting-desk") for number in range(4)]
    # Each work item takes an eighth of a second on a quarter of a core; small jobs are told apart by their ids.
    world.work = lambda task, run: (0.125, "done", 250, 64)
    world.configure([("r-brick", "/brick/", "sorting-desk", {})], ["sorting-desk"])
    await world.start()
    world.is_quiet = True
    front = world.fronts[0]
    count = LARGE_ITEMS if world.trouble else USUAL_ITEMS
    ended = set()
    base_end = world.on_end

    def on_end(executor, task, run, how):
        base_end(executor, task, run, how)
        if how == "done":
            ended.add(task)

    world.on_end = on_end
    await world.submit(front, "/brick/" + LARGE, {"spec": "recount", "steps": [{"count": count, "cpu": 250, "mem_mb": 64, "estimate_ms": 125}]})
    accepted = time.monotonic()
    # Until all have ended, or nothing has run for some seconds.
    while len(ended) < count and time.monotonic() - accepted < 80.0 and not (world.starts and time.monotonic() - world.starts[-1][0] > 4.0):
        await asyncio.sleep(0.2)
    world.note("progress", seconds=round(time.monotonic() - accepted, 1), ended=len(ended), noted=len(world.noted), starts=len(world.starts))
    if len(ended) < count * 0.9:
        raise CannotRun("this machine ran only %d of %d work items in time" % (len(ended), count))
    # A small job after it. All four executors are idle or nearly so.
    world.is_quiet = False
    small = "00000000000000b1"
    await world.submit(front, "/brick/" + small, {"spec": "one photo", "steps": [{"count": 1, "cpu": 250, "mem_mb": 64, "estimate_ms": 125}]})
    accepted_small = time.monotonic()
    idle_since = accepted_small
    while time.monotonic() - accepted_small < BOUNDS["finish_s"]:
        await asyncio.sleep(0.1)
        if any(executor.used("cpu") * 2 > executor.capacity["cpu"] for executor in world.executors):
            idle_since = time.monotonic()
        if any(start[2].startswith(small) for start in world.starts):
            break
    begun = any(start[2].startswith(small) for start in world.starts)
    world.note("small_job", begun=begun, seconds=round(time.monotonic() - accepted_small, 1), idle_s=round(time.monotonic() - idle_since, 1))
    states = {}
    for job in (LARGE, small):
        answer = await world.call(front, "GET", "/brick/" + job)
        states[job] = answer and answer[1].get("state")
    world.note("states", states=states, ended=len(ended), noted=len(world.noted), starts=len(world.starts))
    if not begun and time.monotonic() - idle_since > 7.0:
        world.broken("LOST", "the accepted job %s has nothing running for %.0f s, while its turn has come and the executors are idle; it is shown as %s"
                     % (small, time.monotonic() - accepted_small, states[small]))
    if len(ended) == count and states[LARGE] != "completed":
        world.broken("LOST", "all %d work items of %s have ended done, and it is shown as %s" % (count, LARGE, states[LARGE]))


run_case(case, os.path.join(HERE, "record.txt"), 2)
