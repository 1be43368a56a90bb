"""A queue that a version of the configuration moves to another service, and machines that are stopped and started in turn after it."""
import asyncio
import os
import signal
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
sys.dont_write_bytecode = True
from standin import BOUNDS, CannotRun, Executor, run_case  # noqa: E402

SERVICES = ["sorting-desk", "figure-desk"]
LASTING = "0000000000000c01"
FINITE = "0000000000000c02"
BODIES = {LASTING: {"spec": "recount", "steps": [{"count": 2, "cpu": 3500, "mem_mb": 256, "long_running": True}]},
          FINITE: {"spec": "price lookup", "steps": [{"count": 2, "cpu": 3500, "mem_mb": 256, "estimate_ms": 60000}]}}


async def wait_for_two_runs(world, seconds):
    """Reports work items with two runs at the same time."""
    deadline = time.monotonic() + seconds
    seen = set()
    while time.monotonic() < deadline:
        await asyncio.sleep(0.1)
        for task, on in world.runs.items():
            if len(on) > 1 and task not in seen:
                seen.add(task)
                world.broken("TWICE", "%s has two runs at the same time, on %s" % (task, sorted(on)))


async def unread_case(world):
    """A machine whose connection goes silent on which it reads the operator's records, as the queue moves."""
    prepare(world)
    await world.start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
    if world.trouble:
        world.store.silent.add(world.fronts[0].name)
    world.configure([("r-lot", "/lot/", SERVICES[1], {})], SERVICES)
    await asyncio.sleep(0.1)
    # A client hands a job in at the other machine, and again at this one.
    await world.submit(world.fronts[1], "/lot/" + FINITE, BODIES[FINITE])
    await asyncio.sleep(0.4)
    await world.call(world.fronts[0], "POST", "/lot/" + FINITE, BODIES[FINITE])
    await wait_for_two_runs(world, 5.0)


def prepare(world):
    world.executors = [Executor(world, "i-%s-%d" % (service[:2], number), service) for service in SERVICES for number in range(2)]
    world.work = lambda task, run: (None if task.startswith(LASTING) else 60.0, "done", 3500, 256)
    world.configure([("r-lot", "/lot/", SERVICES[0], {})], SERVICES)


async def case(world):
    prepare(world)
    await world.start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
    accepted = {}
    for job, body in BODIES.items():
        accepted[job] = await world.submit(world.fronts[0], "/lot/" + job, body)
    await asyncio.sleep(BOUNDS["visible_ms"] / 1000 + 1.0)
    for job in BODIES:
        if len([task for task, on in world.runs.items() if task.startswith(job) and on]) != 2:
            raise CannotRun("the work items of %s do not run" % job)
    # Planned work: the queue is served by another service from now on.
    if world.trouble:
        world.configure([("r-lot", "/lot/", SERVICES[1], {})], SERVICES)
    await asyncio.sleep(BOUNDS["config_apply_ms"] / 1000 + 2.0)
    # Planned work: the machines are stopped and started in turn. With TROUBLE=0 too.
    for front in world.fronts:
        front.send(signal.SIGTERM)
        if await front.wait_for_end(BOUNDS["grace_s"]) is None:
            front.send(signal.SIGKILL)
            await front.wait_for_end(1.0)
        front.start()
        await world.wait_until_ready([front])
    # All machines are in touch again.
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000 + BOUNDS["max_hold_ms"] / 1000 + 3.0)
    for job in BODIES:
        for front in world.fronts:
            answer = await world.call(front, "GET", "/lot/" + job)
            if answer is not None and answer[0] == 410:
                world.broken("LOST", "GET for the accepted job %s is answered 410 by %s, %.0f s after its confirmation; its work items run on %s"
                             % (job, front.name, time.monotonic() - accepted[job], sorted(sum([list(on) for task, on in world.runs.items() if task.startswith(job)], []))))
    # The same request arrives once more.
    await world.call(world.fronts[1], "POST", "/lot/" + FINITE, BODIES[FINITE])
    # A client cancels the job that lasts.
    answer = await world.call(world.fronts[1], "DELETE", "/lot/" + LASTING)
    await wait_for_two_runs(world, (BOUNDS["cancel_ms"] + BOUNDS["stop_ms"]) / 1000 + 3.0)
    still = sorted(task for task, on in world.runs.items() if task.startswith(LASTING) and on)
    world.note("after_the_cancel", answer=answer, still_running=still)


run_case(unread_case if os.environ.get("VARIANT") == "unread" else case, os.path.join(HERE, "record.txt"), 2)
