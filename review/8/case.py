"""A job that lasts is stored in two partitions, as its queue moves between two attempts; its cancellation is confirmed and reaches only the record that
has been removed."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Deployment, finish, route, service  # noqa: E402

JOB = "0000000000008a10"
# Delays of the writes without an answer; kinds: "how: late (done 1 to 6 s later)".
FIRST_ATTEMPT_S, SECOND_ATTEMPT_S = 2.8, 2.8
# The largest doses of the site file: platform_lost for 4.5 s, x 0.35.
LOSS_S, LOSS_SHARE = 4.5, 0.35
CANCEL_S, STOP_S = 3.0, 0.2
# From the last late write to the cancellation: more than contact_ms.
CALM_S = 5.0
TASK = JOB + ".0.0.0"
LASTING = {"count": 1, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 2500, "long_running": True}


def main():
    deployment = Deployment(HERE, sys.argv[1])
    services = ["desk", "shop", "quotes"]
    others = [route("list", "/list/", "shop"), route("quote", "/quote/", "quotes")]
    deployment.publish([route("ident", "/ident/", "desk")] + others, [service(name) for name in services])
    for number, name in enumerate(services * 2):
        deployment.fleet.add("i-%d" % number, name, ["a", "r1-0"], {"cpu": 16000, "mem_mb": 64000, "gpu": 0})
    fronts = [deployment.start_process(share=0.5) for _ in range(4)]
    if not deployment.wait_ready():
        finish(deployment, NOT_RUN, "the processes did not get ready")
    time.sleep(5)
    partitions = deployment.partitions_of_pools()
    targets = [name for name in services[1:] if partitions.get(name) != partitions.get("desk")]
    if "desk" not in partitions or not targets:
        finish(deployment, NOT_RUN, "no two services have different partitions: %s" % partitions)
    before, after = partitions["desk"], partitions[targets[0]]
    # Jobs on both queues first, so that each process has done all that it does once.
    step = {"count": 1, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 2500}
    for number, front in enumerate(fronts):
        for prefix in ("/ident/", "/list/", "/quote/"):
            deployment.submit(front, prefix, "%015x%x" % (0x8b0 + number, len(prefix)), [step], [{"work_s": 0.2}])
    if TROUBLE:
        def delay_of(topic, part, keys):
            if topic != "keyed.jobs" or JOB not in keys:
                return None
            return {before: FIRST_ATTEMPT_S, after: SECOND_ATTEMPT_S}.get(part)

        deployment.store.delay_of = delay_of
    started_at = time.monotonic()
    answers = [deployment.submit(fronts[0], "/ident/", JOB, [LASTING])]
    deployment.publish([route("ident", "/ident/", targets[0])] + others, [service(name) for name in services])
    time.sleep(0.2)
    answered_by = fronts[0]
    for front in fronts[1:]:
        # A client asks again after no response, a broken connection, a 502 or a 504.
        if answers[-1][0] in (None, 502, 504):
            answers.append(deployment.submit(front, "/ident/", JOB, [LASTING]))
            answered_by = front
    deployment.store.delay_of = lambda topic, part, keys: None
    lost_at = [at for at, delay in deployment.store.appends if delay is not None]
    loss_s = lost_at[-1] - lost_at[0] if lost_at else 0.0
    writes = [at for at, _ in deployment.store.appends if started_at <= at <= started_at + LOSS_S]
    deployment.record.write("answers: %s; within %.1f s %d writes got no answer, of %d in %.1f s" % (answers, loss_s, len(lost_at), len(writes), LOSS_S))
    if loss_s > LOSS_S or len(lost_at) > LOSS_SHARE * len(writes):
        finish(deployment, NOT_RUN, "the disruption was larger than the pages allow")
    if answers[-1][0] != 200:
        finish(deployment, NOT_RUN, "the job was not accepted: %s" % answers)
    time.sleep(FIRST_ATTEMPT_S + 4 + CALM_S)
    answered_by.call("GET", "/ident/" + JOB)
    status, _ = answered_by.call("DELETE", "/ident/" + JOB)
    cancelled_at = time.monotonic()
    if status != 200:
        finish(deployment, NOT_RUN, "the cancellation was not confirmed")
    time.sleep(CANCEL_S + STOP_S + 1)
    running = [executor.name for executor in deployment.fleet.executors if TASK in executor.running]
    deployment.record.write("%.1f s after the confirmation the work item runs on %s" % (time.monotonic() - cancelled_at, running or "no executor"))
    # Work items that last may fail at any time.
    with deployment.fleet.lock:
        for executor in deployment.fleet.executors:
            if TASK in executor.running:
                executor.running[TASK].end_at(time.monotonic(), "failed")
    time.sleep(3)
    for front in fronts:
        front.call("GET", "/ident/" + JOB)
    late = [(name, "run %d" % run, "%.1f s" % (at - cancelled_at)) for at, name, task, run in deployment.fleet.starts
            if task == TASK and at > cancelled_at + CANCEL_S]
    if running or late:
        finish(deployment, BROKEN, "UNASKED: %.1f s after its cancellation was confirmed the work item runs on %s; starts after %.0f s: %s" % (
            CANCEL_S + STOP_S + 1, running, CANCEL_S, late))
    finish(deployment, HELD, "nothing of the cancelled job runs")


main()
