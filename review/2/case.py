"""A job of many tiny tasks is accepted, which all fit on one machine. It has to run, and what another
user runs on that machine must not be lost for it."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import world as w

WAIT_S = 90.0


def case(folder, trouble):
    zones = ["brno-hall", "jihlava-hall"]
    world = w.World(folder, zones, [w.machine_type("trunk", 64, 0, 256, zones, rate=2.95)],
                    [{"name": "yard-systems", "cpus": 0.0, "cpus_max": 1024.0, "gpus": 0.0, "gpus_max": 0.0}])
    world.strict = os.environ.get("LENIENT", "0") == "0"
    try:
        world.start()
        other = w.job("job-000001", "yard-systems", expect_s=25.0)
        assert world.submit(other), "the other user's job was not accepted"
        assert world.wait_stage("job-000001", ("running",), 15) == "running", "the other user's job does not run"
        swarm = w.job("job-000002", "yard-systems", lane="plot-samples", urgency="low",
                      pieces=2500 if trouble else 250, cores=0.02, ram_gb=0.05, expect_s=2.0)
        assert world.submit(swarm), "job-000002 was not accepted"
        over, told, next_poll = time.monotonic() + WAIT_S, {}, 0.0
        while time.monotonic() < over and any(told.get(j) != "done" for j in ("job-000001", "job-000002")):
            if time.monotonic() >= next_poll:
                next_poll = time.monotonic() + 5.0
                for uid in ("job-000001", "job-000002"):
                    answer = world.poll(uid)
                    told[uid] = answer["stage"] if answer else told.get(uid)
            time.sleep(0.2)
        largest = {}
        for what, size in world.sizes:
            largest[what] = max(size, largest.get(what, 0))
        world.record.say("told: %s; largest messages over the limit: %s; leases ended: %d" % (
            told, largest, world.leases_ended))
        sent = any(what != "report" for what in largest)  # by a controller
        return sent and told.get("job-000002") != "done"
    finally:
        world.stop()


w.main(case)
