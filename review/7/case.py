"""A version removes a route and adds one with the same prefix to another service; an attempt from before, which is stored late, starts the job again."""
import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Deployment, finish, route, service  # noqa: E402

JOB = "0000000000007a10"
# Delays of the writes without an answer; kinds: "how: late (done 1 to 6 s later)".
LATE_S = 5.0
# The largest doses of the site file: platform_lost for 4.5 s, x 0.35.
LOSS_S, LOSS_SHARE = 4.5, 0.35


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
    before = partitions["desk"]
    # Jobs on both queues first, so that each process has done all that it does once.
    step = {"count": 1, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 2500}
    for number, front in enumerate(fronts):
        for prefix in ("/ident/", "/list/", "/quote/"):
            deployment.submit(front, prefix, "%015x%x" % (0x7b0 + number, len(prefix)), [step], [{"work_s": 0.2}])
    if TROUBLE:
        def delay_of(topic, part, keys):
            if topic != "keyed.jobs" or JOB not in keys:
                return None
            return LATE_S if part == before else None

        deployment.store.delay_of = delay_of
    started_at = time.monotonic()
    answers = [deployment.submit(fronts[0], "/ident/", JOB, [step], [{"work_s": 2.5}])]
    deployment.publish([route("ident-next", "/ident/", targets[0])] + others, [service(name) for name in services])
    time.sleep(0.2)
    for front in fronts[1:]:
        # A client asks again after no response, a broken connection, a 502 or a 504.
        if answers[-1][0] not in (None, 502, 504):
            break
        answers.append(deployment.submit(front, "/ident/", JOB, [step], [{"work_s": 2.5}]))
    deployment.store.delay_of = lambda topic, part, keys: None
    lost_at = [at for at, delay in deployment.store.appends if delay is not None]
    loss_s = lost_at[-1] - lost_at[0] if lost_at else 0.0
    writes = [at for at, _ in deployment.store.appends if started_at <= at <= started_at + LOSS_S]
    deployment.record.write("answers: %s; within %.1f s %d writes got no answer, of %d in %.1f s" % (answers, loss_s, len(lost_at), len(writes), LOSS_S))
    if loss_s > LOSS_S or len(lost_at) > LOSS_SHARE * len(writes):
        finish(deployment, NOT_RUN, "the disruption was larger than the pages allow")
    time.sleep(10)
    starts = [(at, name, run) for at, name, task, run in deployment.fleet.starts if task == JOB + ".0.0.0"]
    ends = [(at, name, run) for at, name, task, run, outcome in deployment.fleet.ends if task == JOB + ".0.0.0" and outcome == "done"]
    fronts[1].call("GET", "/ident/" + JOB)
    if answers[-1][0] != 200 or not starts:
        finish(deployment, NOT_RUN, "the job was not accepted or did not run: %s" % answers)
    if len(starts) > 1:
        finish(deployment, BROKEN, "TWICE: the only work item of the job has %d starts, on %s, and %d ends `done`" % (
            len(starts), [(name, "run %d" % run) for _, name, run in starts], len(ends)))
    finish(deployment, HELD, "the work item has run once")


main()
