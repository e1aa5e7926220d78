"""A machine loses the network for 7 s while a task's start is on its way to it; an urgent job then
takes the task's place. Once the network is back, the task has to run."""
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standin"))
import world as w

CUT_S = 7.0  # below lease_s = 10
WAIT_S = 90.0  # "no job is left waiting for 90 s while a machine that fits has room"


def room_for(world, job):
    """Names of machines that are up, in the network and have room for a task of the job."""
    out = []
    for worker in world.cloud.workers():
        with worker.lock:
            free = worker._free()
        if not worker.dead and not worker.cut and all(
                job[f] <= have for f, have in zip(("cores", "cards", "ram_gb"), free)):
            out.append(worker.name)
    return out


def case(folder, trouble):
    zones = ["brno-hall", "jihlava-hall"]
    world = w.World(folder, zones, [w.machine_type("trunk", 64, 0, 256, zones, rate=2.95)],
                    [{"name": "yard-systems", "cpus": 0.0, "cpus_max": 1024.0, "gpus": 0.0, "gpus_max": 0.0}])
    try:
        world.start()
        whole = dict(cores=60.0, ram_gb=100.0)
        first = w.job("job-000001", "yard-systems", expect_s=2.0, **whole)
        assert world.submit(first), "the first job was not accepted"
        assert world.wait_stage("job-000001", ("done",), 25) == "done", "the first job did not run"
        machine = world.cloud.workers()[0]
        time.sleep(2.5)
        low = w.job("job-000002", "yard-systems", urgency="low", **whole)
        urgent = w.job("job-000003", "yard-systems", urgency="urgent", **whole)
        if trouble:
            machine.say("loses the network")
            machine.cut = True
        began = time.monotonic()
        assert world.submit(low), "job-000002 was not accepted"
        time.sleep(1.0)
        assert world.submit(urgent), "job-000003 was not accepted"
        time.sleep(max(0.0, began + CUT_S - time.monotonic()))
        if trouble:
            machine.say("has the network again, session %d" % machine.shift)
            machine.cut = False
        over = time.monotonic()
        since, told, longest, next_poll = None, None, 0.0, 0.0
        while time.monotonic() < over + WAIT_S + 4:
            if time.monotonic() >= next_poll:
                next_poll = time.monotonic() + 5.0
                answer = world.poll("job-000002")
                told = answer["stage"] if answer else told
            if told == "done":
                break
            room = room_for(world, low)
            if told == "queued" and room:
                since = since or time.monotonic()
                waited = time.monotonic() - since
                if int(waited / 5) > int(longest / 5) or longest == 0:
                    world.record.say("job-000002 waits for %.0f s while there is room on %s" % (waited, " ".join(room)))
                longest = max(longest, waited)
                if longest >= WAIT_S:
                    break
            else:
                since = None
            time.sleep(0.5)
        world.record.say("job-000002 is %s; longest wait beside room %.1f s; leases ended: %d; ran twice: %s" % (
            told, longest, world.leases_ended, world.ran_twice))
        return longest >= WAIT_S
    finally:
        world.stop()


w.main(case)
