"""An executor restarts under its id. A start and an acknowledgement that were sent to the boot before reach the next one, which forgets an end that
nobody has read; the work item runs again."""
import os
import sys
import threading
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "standin-2"))
from harness import BROKEN, HELD, NOT_RUN, TROUBLE, Deployment, Line, finish, route, service  # noqa: E402

EXECUTORS = 7
ROUNDS = 14
# How long the executor is down, and when in that time the second job is handed in.
DARK_S, HANDED_IN_S = 0.5, 0.235
WORK_S = 0.06


def main():
    deployment = Deployment(HERE, sys.argv[1])
    deployment.publish([route("ident", "/ident/", "desk")], [service("desk")])
    executors = []
    for number in range(EXECUTORS):
        executors.append(deployment.fleet.add("i-%d" % number, "desk", ["b" if number == 0 else "a", "r1-0"], {"cpu": 16000, "mem_mb": 64000, "gpu": 0}))
        Line(executors[-1])
    target = executors[0]
    fronts = [deployment.start_process(share=0.5) for _ in range(2)]
    if not deployment.wait_ready():
        finish(deployment, NOT_RUN, "the processes did not get ready")
    time.sleep(4)
    broken = []

    def watch(run, executor):
        for other in executors:
            if run.task in other.running and other is not executor:
                broken.append("%s run %d starts on %s while it runs on %s" % (run.task, run.run, executor.name, other.name))
            elif run.task in other.noted:
                broken.append("%s run %d starts on %s; run %d has ended done on %s, and that has been taken note of" % (
                    run.task, run.run, executor.name, other.noted[run.task], other.name))

    for executor in executors:
        executor.on_start = lambda run, executor=executor: watch(run, executor)
    end_listed = threading.Event()
    hold = target.hold

    def hold_and_tell(request):
        answer = hold(request)
        if answer and answer[1]["ended_runs"]:
            end_listed.set()
        return answer

    target.hold = hold_and_tell
    step = {"count": 1, "cpu": 2000, "mem_mb": 1000, "estimate_ms": 100, "requires": "b"}
    accepted = 0
    for number in range(ROUNDS):
        end_listed.clear()
        for front, kind in ((fronts[0], 0), (fronts[1], 1)):
            job = "%06x%010x" % (0x9a0 + kind, number)
            accepted += deployment.submit(front, "/ident/", job, [step], [{"work_s": WORK_S}])[0] == 200
            if kind == 0:
                end_listed.wait(4)
                time.sleep(0.003)
                if TROUBLE:
                    target.crash()
                down_at = time.monotonic()
                time.sleep(HANDED_IN_S)
        time.sleep(max(0.0, down_at + DARK_S - time.monotonic()))
        if TROUBLE:
            target.restart()
        time.sleep(4.5)
        if broken:
            break
    if accepted <= number:
        finish(deployment, NOT_RUN, "only %d jobs were accepted" % accepted)
    if broken:
        finish(deployment, BROKEN, "TWICE: %d work items; the first: %s" % (len(broken), broken[0]))
    finish(deployment, HELD, "no work item of %d jobs has run twice" % accepted)


main()
