"""tools/served against made-up reports."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "served"


def report(done, started=10):
    return {"scenario": "day", "fleet": {"tasks_lost": 3, "tasks_started": 40},
            "targets": [{"kind": "wait", "class": "slot", "within_s": 70.0, "value": 0.2},
                        {"kind": "wait", "class": "slot", "within_s": 180.0, "value": 0.7}],
            "teams": {"desk": {"jobs": 10, "started": started}},
            "events": [{"at_s": 100.0, "what": "something"}],
            "classes": {"slot": {"accepted": 10, "started": 8, "done": done,
                                 "wait_s": {"p50": 1.0, "p90": 2.0}}}}


class Served(unittest.TestCase):
    def served(self, *texts, log=None):
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for i, text in enumerate(texts):
                paths.append(pathlib.Path(folder) / f"{i}.json")
                paths[-1].write_text(text)
            if log is not None:
                (pathlib.Path(folder) / "log").write_text(log)
                paths += ["--log", pathlib.Path(folder) / "log"]
            done = subprocess.run([sys.executable, str(TOOL), *map(str, paths)],
                                  capture_output=True, text=True, check=False)
            return done.returncode, done.stdout + done.stderr

    def test_the_longest_aim_speaks_for_a_class(self):
        code, text = self.served(json.dumps(report(7)))
        self.assertEqual(code, 0, text)
        self.assertRegex(text, r"slot +10 +0.800 +0.700 +0.700 +wait 180")

    def test_less_than_half_done_fails(self):
        code, text = self.served(json.dumps(report(7)), json.dumps(report(4)))
        self.assertEqual(code, 1)
        self.assertIn("less than half served: only 0.40 of class slot done", text)

    def test_jobs_that_were_called_off_are_not_asked_to_be_done(self):
        seen = report(3)
        for cancelled, done, fails in ((4, "0.500", 0), (3, "0.429", 1), (8, "1.000", 0)):
            seen["classes"]["slot"]["cancelled"] = cancelled
            code, text = self.served(json.dumps(seen))
            self.assertEqual(code, fails, text)
            self.assertRegex(text, rf"slot +10 +0.800 +{done}")

    def test_a_team_under_half_started_fails(self):
        code, text = self.served(json.dumps(report(7, started=4)))
        self.assertEqual(code, 1)
        self.assertRegex(text, r"desk +10 +0.400")
        self.assertIn("only 0.40 of team desk started", text)

    def test_a_log_tells_who_started_in_time_in_the_loaded_part(self):
        def line(at, job, team, wait):
            return (f"  {at} node-0 10:00:00.0 debug job_started job={job} class=slot team={team} "
                    f"tasks=2 total_s={wait} record_s=0.1\n")
        log = (line(50, "job-1", "desk", 10) + line(300, "job-2", "desk", 199) +
               line(310, "job-2", "desk", 5) + line(155, "job-3", "office", 20) + "something else\n")
        code, text = self.served(json.dumps(report(7)), log=log)
        self.assertEqual(code, 0, text)
        self.assertRegex(text, r"team +desk +day +2 +0.500")
        self.assertRegex(text, r"team +desk +loaded +1 +0.000")
        self.assertRegex(text, r"class +slot +loaded +2 +0.500")

    def test_what_is_no_report_is_named(self):
        for text in ("", "[]", "{}"):
            self.assertEqual(self.served(text)[0], 2)


if __name__ == "__main__":
    unittest.main()
