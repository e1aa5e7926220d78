"""A gang whose tasks must be spread over zones loses one of its two machines, and the other machine
has room for all of its tasks."""

import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin-2"))
from platform2 import BEAM, HUDEC_ZONES, World, hudec, job, main  # noqa: E402

PATIENCE_S = 90.0  # kit/more/hunt/LATER.md: "no job is left waiting for 90 s"


def case(record, trouble):
    world = World(record, hudec(), [BEAM], ["brno-hall", "brno-hall", "jihlava-hall"])
    try:
        workers = [world.add_worker("beam", zone) for zone in HUDEC_ZONES]
        world.start(os.environ.get("PROGRAM"))
        world.wait("a leader", world.leader, 20)
        gang = job(200, crew="yard-systems-1", pieces=2, cores=4.0, cards=0.0, ram_gb=8.0,
                   apart=True, builds=None)
        world.submit(gang, 10.0)
        world.wait("the gang to run",
                   lambda: all(world.running("job-000200/%d" % i) for i in (0, 1)), 20)
        time.sleep(1.0)
        if trouble:
            world.die(workers[1])
        died = world.record.now()
        done = [False]

        def finished():
            status, answer, _ = world.user("GET", "/work/job-000200", timeout=2.0)
            return status == 200 and answer["stage"] == "done"

        while not done[0] and world.record.now() < died + PATIENCE_S + 3.0:
            time.sleep(5.0)
            done[0] = finished()
        if done[0]:
            return None
        started = [start for start in world.starts if start[0] > died]
        fits = [worker for worker in world.workers.values()
                if not worker.ended and not worker.pieces()]
        world.record.add("since the machine stopped: starts", len(started), "machines with room",
                         [worker.name for worker in fits])
        if started or not fits:
            return None
        world.record.add("BROKEN: job-000200 has been left waiting since", "%.1f" % died)
        return "an accepted job was left waiting for over %.0f s" % PATIENCE_S
    finally:
        world.end()


sys.exit(main(case))
