"""tools/days: the days that it makes, and hunts with a bench that only writes reports."""

import json
import os
import pathlib
import re
import stat
import subprocess
import sys
import tempfile
import tomllib
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent
TOOL = ROOT / "tools" / "days"
sys.path.insert(0, str(TOOL.parent))

import day_generator
import larger_sites

SITE = """name = "mill-hunt"
[nodes]
count = 5
zones = ["north", "south"]
restart_delay_s = 6.0
[workers]
lease_s = 10.0
cancel_s = 30.0
[[machine_types]]
boot_s = 50.0
[[machines]]
count = 10
[[jobs]]
kind = "gang"
name = "planner"
arrivals = { rate = 0.1 }
initial = 3
[[jobs]]
kind = "array"
name = "inspect"
arrivals = { rate = 0.5 }
initial = 4
[[jobs]]
kind = "array"
name = "tally"
arrivals = { rate = 0.8 }
initial = 5
"""
SETTINGS = 'bench = "bin/bench"\n[groups]\n'
SEEDS = range(40)


def report(rules=None, done=9, largest=9, why="fault", panics=0, neglected=0):
    return {"rules_broken": {"total": 0, "by_kind": rules or {}, "first": []}, "targets": [],
            "classes": {"inspect": {"accepted": 10, "started": 9, "done": done,
                                    "wait_s": {"p50": 1.0, "p90": 2.0}}},
            "teams": {"yard": {"jobs": 10, "started": 9}}, "idle": {"neglected": neglected},
            "largest": {"inspect": {"jobs": 10, "started": largest}},
            "users": {"errors": {"503": 4, "reset": 1}}, "fleet": {"tasks_killed_by_lease": 7},
            "node_stats": [{"panics": panics, "restarts": [{"at_s": 1.0, "why": why}]}]}


class Folder(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.at = pathlib.Path(folder.name)
        self.site_file = self.at / "mill-hunt.toml"
        self.site_file.write_text(SITE)
        (self.at / "wire.json").write_text("{}")
        self.site = day_generator.read_site(self.site_file)
        self.environment = {**os.environ, "BENDSPINDLE_KIT": str(self.at)}
        self.environment.pop("BENDSPINDLE_BENCH", None)

    def days(self, *args):
        done = subprocess.run([sys.executable, str(TOOL), *map(str, args)], env=self.environment,
                              capture_output=True, text=True, check=False)
        return done.returncode, done.stdout + done.stderr


class Days(Folder):
    def made(self, theme):
        return [day_generator.make(self.site, theme, seed) for seed in SEEDS]

    def everything(self):
        return [day for theme in day_generator.THEMES for day in self.made(theme)]

    def test_a_seed_makes_the_same_day_and_another_seed_another(self):
        for theme in day_generator.THEMES:
            texts = [day_generator.as_toml(day) for day in self.made(theme)]
            self.assertEqual(texts, [day_generator.as_toml(day) for day in self.made(theme)])
            self.assertEqual(len(set(texts)), len(texts), theme)

    def test_what_is_written_is_the_day(self):
        for day in self.everything():
            read, = tomllib.loads(day_generator.as_toml(day))["day"]
            self.assertEqual((read["name"], read["seed"], read["duration_s"]),
                             (day.name, day.seed, day.duration_s))
            self.assertEqual(read["jobs"], day.plan.jobs)
            self.assertEqual(read.get("vary", {}), day.plan.vary)
            self.assertEqual(read["faults"], [{"at_s": fault.at_s, "kind": fault.kind, **fault.fields}
                                              for fault in day.plan.faults])

    def test_all_troubles_are_over_two_minutes_before_the_end(self):
        for day in self.everything():
            for fault in day.plan.faults:
                self.assertGreater(fault.at_s, 0.0, day.name)
                self.assertLessEqual(fault.end_s(self.site) + 120.0, day.duration_s, (day.name, fault))

    def test_the_end_of_a_trouble_counts_what_it_leaves_behind(self):
        for fault, end in ((day_generator.at(10, "state_outage", for_s=5.0), 15.0),
                           (day_generator.at(10, "late_writes", share=0.1, for_s=5.0), 27.0),
                           (day_generator.at(10, "late_commands", share=0.1, for_s=5.0), 31.0),
                           (day_generator.at(10, "late_reports", share=0.1, for_s=5.0), 35.0),
                           (day_generator.at(10, "cancel_now", count=3, hang_s=20.0), 30.0),
                           (day_generator.at(10, "node_crash", count=1, busiest=True), 16.0),
                           (day_generator.at(10, "node_roll", every_s=4.0), 36.0)):
            self.assertEqual(fault.end_s(self.site), end, fault)

    def test_names_are_safe_for_files(self):
        for day in self.everything():
            self.assertRegex(day.name, r"^[a-z0-9-]+$")
        for name in ("../mill", "mill site", ""):
            self.site_file.write_text(SITE.replace("mill-hunt", name))
            with self.assertRaises(day_generator.WrongSite):
                day_generator.read_site(self.site_file)

    def test_each_theme_draws_what_it_is_named_for(self):
        wanted = {
            "many-leaders": {"close_looks", "late_writes", "cancel_now", "node_crash", "state_outage"},
            "through-terms": {"cancel_now", "node_crash", "late_reports"},
            "late-hangs": {"cancel_now", "machine_mute", "node_crash", "state_outage"},
            "deaf-after-hang": {"cancel_now", "late_commands", "machine_deaf", "node_crash"},
            "cancel-and-cut": {"cancel_now", "node_cut", "zone_cut"},
            "close-looks": {"close_looks", "late_writes", "cancel_at_end", "odd_requests"},
            "small-jobs": {"cancel_at_end", "late_writes"},
            "mute-and-deaf": {"late_commands", "machine_hang", "late_reports", "state_outage"},
            "outage": {"state_outage", "cancel_now"},
            "at-limits": {"job_burst", "spot_taken", "machine_die", "cancel_now"},
            "everything": {"close_looks", "late_writes", "late_reports", "late_commands",
                           "cancel_at_end", "odd_requests"},
        }
        self.assertEqual(set(wanted), set(day_generator.THEMES))
        for theme, kinds in wanted.items():
            for day in self.made(theme):
                self.assertLessEqual(kinds, {fault.kind for fault in day.plan.faults}, day.name)

    def test_together_the_themes_draw_every_kind_and_field(self):
        seen = {(fault.kind, name) for day in self.everything() for fault in day.plan.faults
                for name in fault.fields}
        known = {(kind, name) for kind, of in day_generator.KINDS.items() for name in of.needs | of.may}
        self.assertEqual(known - seen, {("machine_deaf", "count"), ("machine_mute", "count")})
        modes = {fault.fields["mode"] for day in self.everything() for fault in day.plan.faults
                 if "mode" in fault.fields}
        self.assertEqual(modes, set(day_generator.MODES))

    def test_leaders_end_pinned_to_a_cancellation(self):
        for theme in ("many-leaders", "small-jobs", "close-looks"):
            gaps = set()
            for day in self.made(theme):
                cancels = [fault.at_s for fault in day.plan.faults if fault.kind == "cancel_now"]
                gaps |= {round(fault.at_s - at, 2) for fault in day.plan.faults for at in cancels
                         if fault.kind == "node_crash"}
            self.assertIn(0.3, gaps, theme)
            self.assertIn(0.05, gaps, theme)

    def test_many_leaders_change_ten_times_in_two_minutes_and_inside_an_outage(self):
        changes = ("node_crash", "node_cut", "node_freeze")
        for day in self.made("many-leaders"):
            times = [fault.at_s for fault in day.plan.faults if fault.kind in changes]
            most = max(sum(first <= at <= first + 120.0 for at in times) for first in times)
            self.assertGreaterEqual(most, 10, day.name)
            out, = [fault for fault in day.plan.faults if fault.kind == "state_outage"]
            ends = [fault for fault in day.plan.faults if fault.kind == "node_crash"
                    and out.at_s < fault.at_s < out.at_s + out.fields["for_s"]]
            self.assertGreaterEqual(len(ends), 3, day.name)

    def test_through_terms_leaders_change_until_a_cancellation_has_had_its_time(self):
        changes = ("node_crash", "node_cut", "node_freeze")
        for day in self.made("through-terms"):
            cancels = [fault for fault in day.plan.faults if fault.kind == "cancel_now"]
            self.assertEqual(len(cancels), 2)
            for cancel in cancels:
                self.assertGreaterEqual(cancel.fields["hang_s"], 10.0)
                times = [fault.at_s - cancel.at_s for fault in day.plan.faults if fault.kind in changes
                         and 0 < fault.at_s - cancel.at_s < self.site.cancel_s]
                self.assertLessEqual(min(times), 0.31)
                self.assertGreater(max(times), self.site.cancel_s - 10.0)
                self.assertGreaterEqual(len(times), 3)

    def test_late_hangs_end_when_a_lease_is_left_of_a_cancellation(self):
        for day in self.made("late-hangs"):
            faults = day.plan.faults
            for cancel in (fault for fault in faults if fault.kind == "cancel_now"):
                awake = cancel.at_s + cancel.fields["hang_s"]
                left = cancel.at_s + self.site.cancel_s - awake
                self.assertLess(abs(left - self.site.lease_s), 4.1, day.name)
                self.assertTrue(any(fault.kind == "node_crash" and abs(fault.at_s - awake) < 0.81
                                    for fault in faults), day.name)
                self.assertTrue(any(fault.kind == "state_outage" and 0 < fault.at_s - awake < 10.1
                                    for fault in faults), day.name)

    def test_machines_are_deaf_right_after_a_hang_for_longer_than_a_lease(self):
        for day in self.made("deaf-after-hang"):
            faults = day.plan.faults
            for cancel in (fault for fault in faults if fault.kind == "cancel_now"):
                awake = cancel.at_s + cancel.fields["hang_s"]
                deaf = [fault for fault in faults if fault.kind == "machine_deaf"
                        and 0 < fault.at_s - awake < 6.1]
                self.assertTrue(deaf, day.name)
                self.assertGreater(deaf[0].fields["for_s"], self.site.lease_s)
                self.assertTrue(any(fault.kind == "node_crash" and
                                    awake - 2.1 < fault.at_s < deaf[0].at_s for fault in faults))

    def test_outages_are_short_and_longer_than_a_cancellation_has(self):
        lengths = [fault.fields["for_s"] for day in self.made("outage") for fault in day.plan.faults
                   if fault.kind == "state_outage"]
        self.assertLess(min(lengths), 5.0)
        self.assertGreater(max(lengths), self.site.cancel_s)
        self.assertTrue(all(length <= 12.0 or length > self.site.cancel_s for length in lengths))

    def test_small_jobs_come_four_a_second_a_quarter_cancelled(self):
        for day in self.made("small-jobs"):
            job, = day.plan.jobs
            self.assertEqual((job["arrivals"]["rate"], job["cancelled"], job["tasks"]["max"]),
                             (4.0, 0.25, 1.0))

    def test_a_fault_with_a_wrong_field_is_refused(self):
        for kind, fields in (("no_such", {}), ("state_outage", {}), ("machine_mute", {"for_s": 3.0}),
                             ("state_outage", {"for_s": 1.0, "share": 0.2}),
                             ("machine_deaf", {"for_s": 3.0, "share": 0.1, "count": 2}),
                             ("zone_cut", {"zone": "north", "for_s": 3.0, "mode": "refuse"}),
                             ("node_cut", {"count": 1, "busiest": True, "for_s": 3.0,
                                           "from_workers": True, "mode": "refuse"})):
            with self.assertRaises(ValueError, msg=kind):
                day_generator.Fault(1.0, kind, fields)

    def test_make_writes_the_day(self):
        code, text = self.days("make", "--site", self.site_file, "--seed", 7, "--theme", "outage")
        self.assertEqual(code, 0, text)
        self.assertEqual(text, day_generator.as_toml(day_generator.make(self.site, "outage", 7)))
        code, nothing = self.days("make", "--site", self.site_file, "--seed", 7, "--theme", "outage",
                                  "--out", self.at / "day.toml")
        self.assertEqual((code, nothing), (0, ""))
        self.assertEqual((self.at / "day.toml").read_text(), text)

    def test_wrong_calls_end_2(self):
        site = ("--site", self.site_file)
        for call in ((), ("make",), ("make", *site), ("make", *site, "--seed", "x"),
                     ("make", *site, "--seed", "-1"), ("make", *site, "--seed", 1, "--theme", "rain"),
                     ("make", "--site", self.at / "none.toml", "--seed", 1),
                     ("hunt", *site, "--seeds", "3", "--why", "w"),
                     ("hunt", *site, "--seeds", "3..1", "--why", "w"),
                     ("hunt", *site, "--seeds", "1..2"),
                     ("hunt", *site, "--seeds", "1..2", "--why", " "),
                     ("hunt", *site, "--seeds", "1..2", "--why", "w", "--jobs", "0"),
                     ("hunt", *site, "--seeds", "1..2", "--why", "w", "--restart-delay", "0"),
                     ("hunt", *site, "--seeds", "1..2", "--why", "w", "--themes", "rain")):
            code, text = self.days(*call)
            self.assertEqual(code, 2, (call, text))
            self.assertNotIn("Traceback", text)

    def test_a_site_that_lacks_something_is_named(self):
        for part in ("lease_s = 10.0\n", 'kind = "gang"\n', 'zones = ["north", "south"]\n'):
            self.site_file.write_text(SITE.replace(part, ""))
            code, text = self.days("make", "--site", self.site_file, "--seed", 1)
            self.assertEqual(code, 2)
            self.assertIn(f"{part.split()[0]} is missing", text)


class Forms(unittest.TestCase):
    def test_a_form_changes_what_it_names_only(self):
        text, name = larger_sites.formed(SITE, larger_sites.Form(restart_delay_s=0.2, boot_s=2.0), "-x")
        self.assertEqual(name, "mill-hunt-x")
        self.assertEqual(text, SITE.replace("mill-hunt", "mill-hunt-x")
                         .replace("restart_delay_s = 6.0", "restart_delay_s = 0.2")
                         .replace("boot_s = 50.0", "boot_s = 2.0"))

    def test_the_larger_form_may_keep_the_times(self):
        text, _ = larger_sites.formed(SITE, larger_sites.Form(larger=True), "")
        self.assertIn("restart_delay_s = 6.0", text)
        self.assertIn("[[machines]]\ncount = 15", text)
        self.assertIn("rate = 0.75", text)

    def test_every_form_has_a_name_of_its_own(self):
        names = {larger_sites.Form(larger, delay, boot).suffix() for larger in (False, True)
                 for delay in (None, 0.2, 2.0) for boot in (None, 2.0)}
        self.assertEqual(len(names), 12)


class Hunts(Folder):
    def bench_reports(self, written, only=""):
        """A bench that notes its calls and writes a report for days whose name has `only` in it, and
        a clean one for the others; None: no report."""
        script = self.at / "bin" / "bench"
        script.parent.mkdir(exist_ok=True)
        script.write_text(
            f"#!{sys.executable}\n"
            "import json, pathlib, sys\n"
            f"at = pathlib.Path({str(self.at)!r})\n"
            "with (at / 'calls').open('a') as out: out.write(' '.join(sys.argv[1:]) + '\\n')\n"
            "if sys.argv[1] == 'run':\n"
            "    print('what the bench writes')\n"
            "    print('the run ended')\n"
            "    site, day = map(pathlib.Path, sys.argv[2:4])\n"
            f"    chosen = {written!r} if {only!r} in day.name else {report()!r}\n"
            "    if chosen is not None:\n"
            "        path = pathlib.Path(sys.argv[sys.argv.index('--report') + 1])\n"
            "        path.write_text(json.dumps(chosen))\n"
            "    (at / (day.name + '.seen')).write_text(day.read_text())\n"
            "    (at / (site.name + '.seen')).write_text(site.read_text())\n")
        script.chmod(script.stat().st_mode | stat.S_IXUSR)

    def hunt(self, *args, seeds="1..2"):
        file = self.at / "regress.toml"
        file.write_text(SETTINGS)
        return self.days("hunt", "--site", self.site_file, "--seeds", seeds, "--why", "a reason",
                         "--file", file, *args)

    def calls(self):
        return (self.at / "calls").read_text().splitlines()

    def test_without_the_bench_it_says_so(self):
        code, text = self.hunt()
        self.assertEqual(code, 2)
        self.assertIn("there is no bench at", text)

    def test_every_theme_is_played_with_every_seed(self):
        self.bench_reports(report())
        code, text = self.hunt("--themes", "outage", "close-looks", seeds="3..5")
        self.assertEqual(code, 0, text)
        self.assertEqual([call.split()[0] for call in self.calls()].count("run"), 6)
        self.assertEqual(self.calls()[0], "build")
        for call in self.calls()[1:]:
            self.assertIn("--no-cpu", call)
            self.assertIn("a reason", call)
            seed = re.search(r"--seed (\d+)", call)[1]
            self.assertIn(f"-{seed}.day.toml", call)
        self.assertIn("6 plays, 0 broke something", text)
        self.assertEqual((self.at / "mill-hunt.outage-4.day.toml.seen").read_text(),
                         day_generator.as_toml(day_generator.make(self.site, "outage", 4)))

    def test_another_form_of_the_site_plays_the_same_days(self):
        self.bench_reports(report())
        code, text = self.hunt("--themes", "outage", "--larger", "--restart-delay", "0.2", "--cpu",
                               "--log", "debug", seeds="4..4")
        self.assertEqual(code, 0, text)
        self.assertNotIn("--no-cpu", self.calls()[1])
        self.assertIn("--log debug", self.calls()[1])
        site = (self.at / "mill-hunt-larger-back-0_2.toml.seen").read_text()
        self.assertIn("restart_delay_s = 0.2", site)
        self.assertIn("count = 15", site)
        self.assertEqual((self.at / "mill-hunt-larger-back-0_2.outage-4.day.toml.seen").read_text(),
                         day_generator.as_toml(day_generator.make(self.site, "outage", 4)))

    def test_whatever_broke_is_said_and_kept_and_nothing_else(self):
        for written, said in ((report(rules={"ran_cancelled": 2}), "rule broken: ran_cancelled 2"),
                              (report(done=4), "only 0.40 of class inspect done"),
                              (report(largest=4), "only 0.40 of the largest of class inspect started"),
                              (report(why="memory"), "controllers ended by themselves 1 times"),
                              (report(panics=1), "1 panics"),
                              (report(neglected=3), "3 jobs left waiting beside room"),
                              ({}, "no report that can be read"),
                              (None, "what the bench writes")):
            self.bench_reports(written, only="outage-2")
            kept = self.at / "kept" / said.split()[0]
            code, text = self.hunt("--themes", "outage", "--keep", kept)
            self.assertEqual(code, 1, text)
            self.assertIn(said, text)
            self.assertIn("2 plays, 1 broke something", text)
            names = {path.name for path in kept.iterdir()}
            self.assertLessEqual({"mill-hunt.toml", "wire.json", "mill-hunt.outage-2.day.toml",
                                  "mill-hunt.outage-2.log"}, names)
            self.assertFalse(any("outage-1" in name for name in names))
            self.assertEqual("mill-hunt.outage-2.json" in names, written is not None)


if __name__ == "__main__":
    unittest.main()
