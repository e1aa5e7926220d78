"""A gang of two tasks with `apart` runs in two zones. The machine in one zone stops. The machine in the
other has room for both tasks, but may run one only; the cloud would rent another in the lost zone."""
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
    try:
        world.start()
        for i, zone in enumerate(zones):
            assert world.submit(w.job("job-00000%d" % (i + 1), "yard-systems", lane="first", cores=60.0, expect_s=1.0,
                                      hall=zone)), "a first job was not accepted"
        for uid in ("job-000001", "job-000002"):
            assert world.wait_stage(uid, ("done",), 15) == "done", "a first job did not run"
        gang = w.job("job-000003", "yard-systems", lane="pairs", shape="ensemble", pieces=2, apart=True, cores=10.0,
                     ram_gb=20.0, expect_s=6.0)
        assert world.submit(gang), "job-000003 was not accepted"
        assert world.wait_stage("job-000003", ("running", "done"), 12) in ("running", "done"), "the gang did not start"
        rented = world.cloud.next
        if trouble:
            lost = [x for x in world.cloud.workers() if x.hall == zones[1]][0]
            world.cloud.kill(lost.name)
        began, over, told, next_poll = time.monotonic(), None, None, 0.0
        while told != "done" and time.monotonic() < (over or began + 15.0) + WAIT_S:
            if trouble and not over and lost.name not in world.cloud.machines:
                over = time.monotonic()  # the lost machine is returned; all that remains is sound
            if time.monotonic() >= next_poll:
                next_poll = time.monotonic() + 5.0
                answer = world.poll("job-000003")
                told = answer["stage"] if answer else told
            time.sleep(0.2)
        world.record.say("job-000003 is %s %.0f s after the trouble; machines rented since: %d" % (
            told, time.monotonic() - (over or began), world.cloud.next - rented))
        return told != "done"
    finally:
        world.stop()


w.main(case)
