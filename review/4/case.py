"""Rule LOST: a job is shown as `failed` before its task has used the attempts of its queue."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
from standins import *

ATTEMPTS, FAILS = 5, 4
NAME = "00000000000000a1"
APPLY_S = BOUNDS["config_ms"] / 1000


def case(deployment):
    kept, changing = [route("q")], route("r", ATTEMPTS)
    deployment.configure(kept + [changing])
    time.sleep(APPLY_S + 0.5)
    # The task fails four times and is done with its fifth run.
    body = job({"ms": 500, "fails": FAILS}, estimateMs=500)
    if deployment.call("POST", 0, f"/r/{NAME}", body)[0] != 200:
        raise CouldNotRun("the job was not accepted")
    if TROUBLE:
        deployment.configure(kept)
    time.sleep(6.0)
    if TROUBLE:
        # The route comes back, so that the state can be asked for.
        deployment.configure(kept + [changing])
        time.sleep(APPLY_S + 0.5)
    states = [deployment.call("GET", entry, f"/r/{NAME}")[1] for entry in (0, 1)]
    failed = sum(end[2].startswith(NAME) and end[4] == "failed" for end in deployment.ends)
    if {"state": "failed"} in states and failed < ATTEMPTS:
        return (f"LOST: job {NAME} is shown as failed after {failed} of {ATTEMPTS} attempts "
                "have ended failed")
    if states != [{"state": "completed"}] * 2:
        raise CouldNotRun(f"the job is shown as {states}")
    return None


if __name__ == "__main__":
    main(os.path.dirname(os.path.abspath(__file__)), case)
