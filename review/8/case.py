"""A run of a task that lasts ends done; see claim.txt."""

import os
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
from standins2 import Deployment, Fleet, TROUBLE, Worker, main  # noqa: E402

# LOST: from 6 s after its last run, for 3 s.
AWAY_S = 9.5


def case(record):
    fleet = Fleet(record)

    def rules(run, now):
        """A task that lasts goes on; with trouble, the first run of task 0 ends after 4 s."""
        ends = TROUBLE and run.task.endswith(".0.0.0") and run.number == 1
        return "done" if ends and now - run.began > 4.0 else None

    workers = [Worker(fleet, index, "a", rules) for index in range(4)]
    deployment = Deployment(HERE, workers, record, fleet)
    job = "77e6797a451bb2ef"
    try:
        deployment.submit(job, {"spec": "lasting", "steps": [
            {"count": 2, "cpu": 6400, "memMb": 1000, "estimateMs": 500, "longRunning": True}]})
        deployment.wait(lambda: len(fleet.runs) >= 2, 10, "starts")
        time.sleep(5)
        first = next(run for run in fleet.runs if run.task.endswith(".0.0.0"))
        record(f"client: GET {job} -> {deployment.state(job)}")
        until = (first.ended or time.monotonic()) + AWAY_S
        while time.monotonic() < until:
            time.sleep(0.1)
        record(f"client: GET {job} -> {deployment.state(job)}; nobody has cancelled it")
        runs = [(run.number, run.end) for run in fleet.runs if run.task == first.task]
        record(f"{first.task}: runs (number, end): {runs}")
        if not fleet.going(first.task):
            return f"LOST: {first.task} has not run again for {AWAY_S} s, with room on 4 workers"
        return None
    finally:
        deployment.close()


main(case, HERE)
