"""tools/regress against made-up journal entries and a bench that only writes them."""

import importlib.machinery
import importlib.util
import json
import os
import pathlib
import stat
import subprocess
import sys
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOOL = ROOT / "tools" / "regress"
sys.path.insert(0, str(TOOL.parent))

SETTINGS = """
bench = "bin/bench"
[groups]
quick = ["q/small.toml"]
fleet = ["f/large.toml"]
[[accepted]]
site = "small"
mode = "quick"
figure = 0.7
revision = "abc"
"""


def entry(site="small", score=0.7, argv=("small.toml", "--quick"), cmd="score", ok=True,
          at="2026-01-01T00:00:00Z", sources="1", **day):
    return {"id": at, "cmd": cmd, "argv": list(argv), "site": site, "ok": ok,
            "error": None if ok else "the run did not finish", "score": score,
            "at": [at, at], "head": "def", "dirty": False, "policy": [{"sha256": sources}],
            "days": [{"name": "steady", "score": score, "rules": {}, "fault": None,
                      "restarts": 0.0, **day}]}


class Regress(unittest.TestCase):
    def setUp(self):
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)
        self.at = pathlib.Path(self.folder.name)
        self.journal = self.at / "journal"
        self.journal.mkdir()
        self.file = self.at / "regress.toml"
        self.file.write_text(SETTINGS)
        self.environment = {**os.environ, "BENDSPINDLE_KIT": str(self.at)}
        self.environment.pop("BENDSPINDLE_BENCH", None)

    def bench_writes(self, *entries, report=None):
        """A bench that notes its calls and writes the given entries, one file each, and the report.
        It keeps the text of a site that is made for the run."""
        script = self.at / "bin" / "bench"
        script.parent.mkdir(exist_ok=True)
        script.write_text(
            f"#!{sys.executable}\n"
            "import json, pathlib, sys\n"
            f"at = pathlib.Path({str(self.at)!r})\n"
            "calls = at / 'calls'\n"
            "with calls.open('a') as out: out.write(' '.join(sys.argv[1:]) + '\\n')\n"
            "n = len(calls.read_text().splitlines())\n"
            f"report = json.loads({json.dumps(json.dumps(report))})\n"
            "if '--report' in sys.argv and report:\n"
            "    pathlib.Path(sys.argv[sys.argv.index('--report') + 1]).write_text(json.dumps(report))\n"
            "if sys.argv[1] == 'run': (at / 'site').write_text(pathlib.Path(sys.argv[2]).read_text())\n"
            f"for i, entry in enumerate(json.loads({json.dumps(json.dumps(entries))})):\n"
            "    (at / 'journal' / f'{n}-{i}.json').write_text(json.dumps(entry))\n")
        script.chmod(script.stat().st_mode | stat.S_IXUSR)

    def regress(self, *args):
        done = subprocess.run(
            [sys.executable, str(TOOL), *args, "--file", str(self.file), "--journal",
             str(self.journal)], env=self.environment, capture_output=True, text=True, check=False)
        return done.returncode, done.stdout + done.stderr

    def calls(self):
        return (self.at / "calls").read_text().splitlines()

    def test_without_the_bench_it_says_so(self):
        code, text = self.regress("quick")
        self.assertEqual(code, 2)
        self.assertIn("there is no bench at", text)

    def test_a_bench_that_writes_nothing_is_no_success(self):
        self.bench_writes()
        code, text = self.regress("quick")
        self.assertEqual(code, 2)
        self.assertIn("wrote no entry", text)

    def test_noise_passes(self):
        self.bench_writes(entry(score=0.67))
        code, text = self.regress("quick", "--why", "a reason")
        self.assertEqual(code, 0, text)
        self.assertIn("+0.030", text)
        self.assertIn("--quick", self.calls()[0])
        self.assertIn("a reason", self.calls()[0])

    def test_a_fall_of_four_hundredths_fails(self):
        self.bench_writes(entry(score=0.66))
        code, text = self.regress("quick")
        self.assertEqual(code, 1)
        self.assertIn("+0.040 !", text)

    def test_a_broken_rule_fails_whatever_the_figure(self):
        self.bench_writes(entry(score=0.9, rules={"ran_twice": 1}))
        code, text = self.regress("quick")
        self.assertEqual(code, 1)
        self.assertIn("rule broken: ran_twice", text)

    def test_a_failed_day_and_an_ended_controller_fail(self):
        for against, said in (({"fault": "too slow"}, "failed: too slow"),
                              ({"restarts": 1.0}, "a controller ended")):
            self.bench_writes(entry(score=0.9, **against))
            code, text = self.regress("quick")
            self.assertEqual(code, 1)
            self.assertIn(said, text)

    def test_a_class_under_half_served_fails_by_its_longest_aim(self):
        aims = [["wait slot 70 s: 0.301 (aim 0.8)", 0.1], ["wait slot 180 s: 0.49 (aim 0.9)", 0.1],
                ["deadline scan 1x: 0.2 (aim 0.9)", 0.1], ["deadline scan 1.5x: 0.6 (aim 0.9)", 0.2],
                ["useful: 0.3 (aim 0.8)", 0.1]]
        self.bench_writes(entry(score=0.9, aims=aims))
        code, text = self.regress("quick")
        self.assertEqual(code, 1)
        self.assertIn("only 0.49 of slot served in time", text)
        self.assertNotIn("scan", text)

    def test_a_run_that_broke_off_fails(self):
        self.bench_writes(entry(ok=False, score=None))
        code, text = self.regress("quick")
        self.assertEqual(code, 1)
        self.assertIn("did not finish", text)

    def test_of_several_runs_the_median_counts(self):
        self.bench_writes(*(entry(score=score) for score in (0.6, 0.69, 0.71)))
        code, text = self.regress("quick", "--runs", "2")
        self.assertEqual(code, 0, text)
        self.assertEqual(len(self.calls()), 2)

    def test_full_plays_all_sites_and_hunts(self):
        self.bench_writes(entry(argv=("small.toml",)))
        code, text = self.regress("full")
        self.assertEqual(code, 0, text)
        self.assertEqual([call.split()[0] for call in self.calls()], ["score", "hunt", "hunt"])
        self.assertIn("large.toml", self.calls()[0])
        self.assertNotIn("--quick", self.calls()[0])

    def test_a_hunted_day_with_a_broken_rule_fails(self):
        self.bench_writes(entry(argv=("small.toml",)),
                          entry(cmd="hunt", argv=("small.toml",), rules={"quota": 2}))
        code, text = self.regress("full")
        self.assertEqual(code, 1)
        self.assertIn("(hunt) steady: rule broken: quota", text)

    LARGER = """
[[larger]]
site = "f/large.toml"
days = ["one", "two"]
"""

    def with_larger_days(self):
        self.file.write_text(SETTINGS + self.LARGER)
        (self.at / "f").mkdir()
        (self.at / "f" / "large.toml").write_text(
            'name = "large"\n[nodes]\nrestart_delay_s = 8.0\n[[machines]]\ncount = 5\n'
            '[[capacity]]\ncount = 10\nspot = 3\n[[teams]]\nname = "t"\ncount = 16\ngpus = 4.0\n'
            '[[jobs]]\ncpus = 2.0\ntasks = { median = 4 }\ninitial = 3\n'
            'arrivals = { rate = 0.5 }\n')

    @staticmethod
    def report(done=9, started=9, in_time=0.9):
        return {"targets": [{"kind": "wait", "class": "slot", "within_s": 70.0, "value": in_time}],
                "classes": {"slot": {"accepted": 10, "started": 9, "done": done,
                                     "wait_s": {"p50": 1.0, "p90": 2.0}}},
                "teams": {"desk": {"jobs": 10, "started": started}}}

    def test_larger_days_are_played_on_a_larger_site_made_for_them(self):
        self.with_larger_days()
        self.bench_writes(entry(cmd="run", score=0.9), report=self.report())
        code, text = self.regress("larger")
        self.assertEqual(code, 0, text)
        self.assertEqual([call.split()[0] for call in self.calls()], ["build", "run", "run"])
        for day in ("one", "two"):
            self.assertTrue(any(f"tests/days/{day}.toml" in call for call in self.calls()), day)
        self.assertEqual(
            (self.at / "site").read_text(),
            'name = "large-larger"\n[nodes]\nrestart_delay_s = 0.2\n[[machines]]\ncount = 8\n'
            '[[capacity]]\ncount = 15\nspot = 4\n[[teams]]\nname = "t"\ncount = 16\ngpus = 6.0\n'
            '[[jobs]]\ncpus = 2.0\ntasks = { median = 4 }\ninitial = 4\n'
            'arrivals = { rate = 0.75 }\n')

    def test_a_class_or_a_team_under_half_served_fails_a_larger_day(self):
        self.with_larger_days()
        for against, said in ((self.report(done=4), "only 0.40 of class slot done"),
                              (self.report(in_time=0.49), "only 0.49 of class slot in time"),
                              (self.report(started=4), "only 0.40 of team desk started"),
                              (None, "no report was written")):
            self.bench_writes(entry(cmd="run", score=0.9), report=against)
            code, text = self.regress("larger")
            self.assertEqual(code, 1)
            self.assertIn(said, text)

    def test_a_site_with_nothing_to_grow_ends_2(self):
        self.with_larger_days()
        (self.at / "f" / "large.toml").write_text("")
        self.bench_writes(entry(cmd="run"))
        self.assertEqual(self.regress("larger")[0], 2)

    def write(self, *entries):
        for number, one in enumerate(entries):
            (self.journal / f"{number}.json").write_text(json.dumps(one))

    def test_accept_takes_the_figures_of_the_newest_sources(self):
        self.write(entry(score=0.5), entry(score=0.74, at="2026-01-02T00:00:00Z", sources="2"),
                   entry(score=0.76, at="2026-01-03T00:00:00Z", sources="2"),
                   entry(score=0.8, argv=("small.toml",), at="2026-01-04T00:00:00Z"))
        code, text = self.regress("accept")
        self.assertEqual(code, 0, text)
        spec = importlib.util.spec_from_loader(
            "regress", importlib.machinery.SourceFileLoader("regress", str(TOOL)))
        tool = importlib.util.module_from_spec(spec)
        spec.loader.exec_module(tool)
        accepted = tool.accepted_of(tool.load(self.file))
        self.assertEqual(accepted[("small", "quick")]["figure"], 0.75)
        self.assertEqual(accepted[("small", "full")]["figure"], 0.8)
        self.assertEqual(accepted[("small", "full")]["revision"], "def")

    def test_accept_refuses_while_something_fell(self):
        self.write(entry(score=0.6))
        code, text = self.regress("accept")
        self.assertEqual(code, 1)
        self.assertIn("not accepted", text)
        self.assertEqual(self.file.read_text(), SETTINGS)

    def test_a_wrong_call_ends_2(self):
        self.assertEqual(self.regress("slow")[0], 2)
        self.assertEqual(self.regress("quick", "--runs", "0")[0], 2)


if __name__ == "__main__":
    unittest.main()
