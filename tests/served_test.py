"""tools/served against made-up reports."""

import json
import pathlib
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "served"


def report(done):
    return {"scenario": "day", "fleet": {"tasks_lost": 3, "tasks_started": 40},
            "targets": [{"kind": "wait", "class": "slot", "within_s": 70.0, "value": 0.2},
                        {"kind": "wait", "class": "slot", "within_s": 180.0, "value": 0.7}],
            "classes": {"slot": {"accepted": 10, "started": 8, "done": done,
                                 "wait_s": {"p50": 1.0, "p90": 2.0}}}}


class Served(unittest.TestCase):
    def served(self, *texts):
        with tempfile.TemporaryDirectory() as folder:
            paths = []
            for i, text in enumerate(texts):
                paths.append(pathlib.Path(folder) / f"{i}.json")
                paths[-1].write_text(text)
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
        self.assertIn("less than half served: slot", text)

    def test_what_is_no_report_is_named(self):
        for text in ("", "[]", "{}"):
            self.assertEqual(self.served(text)[0], 2)


if __name__ == "__main__":
    unittest.main()
