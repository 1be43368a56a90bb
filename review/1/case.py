"""Executors that are dark for half a second and start again under their ids, below steady traffic."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "standin"))
sys.dont_write_bytecode = True
from standin import BOUNDS, CannotRun, Executor, run_case  # noqa: E402

SERVICE = "sorting-desk"
# One of seven executors is dark at a time: a share of 0.14.
EXECUTORS = 7
DARK_S = 0.5
PAUSE_S = 2.0
LENGTH_S = 80.0


async def crash_case(world):
    """An idle executor crashes, is back under its id DARK_S later, and is sent several orders at once before its new entry is read."""
    prepare(world)
    await world.start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
    for number in range(10):
        if world.trouble:
            world.executors[0].crash()
            await asyncio.sleep(DARK_S)
            await world.executors[0].start()
        body = {"spec": "photo", "steps": [{"count": 6, "cpu": 10000, "mem_mb": 256, "estimate_ms": 800}]}
        await world.submit(world.fronts[0], "/brick/%016x" % (0xd0000 + number), body)
        await asyncio.sleep(3.0)


def prepare(world):
    world.executors = [Executor(world, "i-%d" % number, SERVICE) for number in range(EXECUTORS)]
    world.work = lambda task, run: (0.8, "done", 10000, 256)
    base_start = world.on_start

    def on_start(executor, task, run):
        base_start(executor, task, run)
        if len(world.runs[task]) > 1:
            world.broken("TWICE", "%s runs at the same time on %s" % (task, sorted(world.runs[task])))

    world.on_start = on_start
    world.configure([("r-brick", "/brick/", SERVICE, {})], [SERVICE])


async def case(world):
    generator = random.Random(4)
    prepare(world)
    await world.start()
    await asyncio.sleep(BOUNDS["contact_ms"] / 1000)
    begun = time.monotonic()
    accepted = []

    async def traffic():
        number = 0
        while time.monotonic() - begun < LENGTH_S:
            number += 1
            job = "%016x" % (0xe0000 + number)
            await world.submit(world.fronts[number % 2], "/brick/" + job, {"spec": "photo", "steps": [{"count": 6, "cpu": 10000, "mem_mb": 256, "estimate_ms": 800}]})
            accepted.append(job)
            await asyncio.sleep(0.2)

    async def disturb():
        await asyncio.sleep(3.0)
        while world.trouble and time.monotonic() - begun < LENGTH_S - 5.0:
            await generator.choice(world.executors).restart_in_the_dark(DARK_S)
            await asyncio.sleep(PAUSE_S)

    await asyncio.gather(traffic(), disturb())
    await asyncio.sleep(3.0)
    if len(accepted) < 50 or not world.noted:
        raise CannotRun("only %d jobs were accepted" % len(accepted))


run_case(crash_case if os.environ.get("VARIANT") == "crash" else case, os.path.join(HERE, "record.txt"), 2)
