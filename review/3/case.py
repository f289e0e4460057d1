"""Rule LOST: a new owner that doesn't know the configuration yet ends a job as `failed`."""

import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

ATTEMPTS, FAILS, FAIL_MS = 5, 4, 1_500
DOWN_S, RESTART_S = 4.5, 0.5
NAME = "00000000000000a1"


def case(deployment):
    # The task fails four times, each time after 1.5 s, and is done with its fifth run.
    body = job({"ms": 500, "fails": FAILS, "fail_ms": FAIL_MS}, estimateMs=500)
    if deployment.call("POST", 0, f"/q/{NAME}", body)[0] != 200:
        raise CouldNotRun("the job was not accepted")
    deployment.await_that("the third run", lambda: len(deployment.starts) >= 3, 12)
    if TROUBLE:
        agents = [name for name in deployment.settings if name.startswith("agent")]
        deployment.record.write("store: the partition of keyed.op is down")
        deployment.store.down.add("keyed.op")
        down = time.monotonic()
        for name in agents:
            deployment.signal(name, signal.SIGKILL)
        for name in agents:
            deployment.processes[name].wait()
        time.sleep(RESTART_S)
        for name in agents:
            deployment.start(name)
        time.sleep(max(0.0, down + DOWN_S - time.monotonic()))
        deployment.store.down.clear()
        deployment.record.write("store: the partition of keyed.op is up")
    state, until = None, deployment.record.now() + 30
    while state not in ("completed", "failed"):
        if deployment.record.now() > until:
            raise CouldNotRun(f"the job is shown as {state}")
        time.sleep(0.5)
        state = (deployment.call("GET", 0, f"/q/{NAME}")[1] or {}).get("state")
    failed = sum(end[2].startswith(NAME) and end[4] == "failed" for end in deployment.ends)
    if state == "failed" and failed < ATTEMPTS:
        return (f"LOST: job {NAME} is shown as failed after {failed} of {ATTEMPTS} attempts "
                "have ended failed")
    return None


if __name__ == "__main__":
    main(os.path.dirname(os.path.abspath(__file__)), case, routes=[route("q", ATTEMPTS)])
