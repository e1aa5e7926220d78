"""tools/lint in a repository of its own, with stand-ins of clang-format, clang-tidy and cmake that
find the words BAD and SLOW."""

import os
import pathlib
import shutil
import subprocess
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "lint"

FORMAT = """#!/bin/sh
case "$1" in
--version) echo "clang-format version 14.0.6" ;;
-i) sed -i s/BAD/good/ "$2" ;;
*) if grep -q BAD "$3"; then echo "$3:1:1: error: not formatted" >&2; exit 1; fi ;;
esac
"""
TIDY = """#!/bin/sh
if [ "$1" = --version ]; then echo "LLVM version 14.0.6"; exit; fi
for file in "$4" src/a.hpp; do
    if grep -q SLOW "$file"; then echo "$PWD/$file:2:1: error: slow [performance]"; found=1; fi
done
exit "${found:-0}"
"""
CMAKE = """#!/bin/sh
mkdir -p build/lint
printf '[{"file": "%s/src/a.cpp"}, {"file": "%s/src/b.cpp"}, {"file": "%s/scale/c.cpp"}]' \\
    "$PWD" "$PWD" "$PWD" >build/lint/compile_commands.json
"""


class Lint(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.root = pathlib.Path(directory.name).resolve() / "repository"
        self.programs = self.root.parent / "programs"
        for path in (self.root / "tools", self.root / "src", self.root / "tests",
                     self.root / "scale", self.programs):
            path.mkdir(parents=True)
        shutil.copy(TOOL, self.root / "tools" / "lint")
        for name, text in (("clang-format", FORMAT), ("clang-tidy", TIDY), ("cmake", CMAKE)):
            (self.programs / name).write_text(text)
            (self.programs / name).chmod(0o755)
        self.write("a.hpp", "int a();")
        self.write("a.cpp", '#include "a.hpp"')
        self.write("b.cpp", "int b;")
        self.git("init", "-q", "-b", "main")
        self.commit()

    def write(self, name, text):
        (self.root / "src" / name).write_text(text + "\n")

    def git(self, *words):
        subprocess.run(["git", "-c", "user.name=t", "-c", "user.email=t@t", *words], cwd=self.root,
                       check=True, capture_output=True)

    def commit(self):
        self.git("add", "src", "tools")
        self.git("commit", "-q", "-m", "state")

    def lint(self, *words):
        path = f"{self.programs}{os.pathsep}{os.environ['PATH']}"
        return subprocess.run([sys.executable, "tools/lint", *words], cwd=self.root, text=True,
                              capture_output=True, check=False, env={**os.environ, "PATH": path})

    def test_nothing_found(self):
        done = self.lint()
        self.assertEqual(done.returncode, 0, done.stderr)
        self.assertIn("3 files, 0 findings", done.stdout)

    def test_findings_of_both_are_told_once(self):
        self.write("a.hpp", "SLOW BAD")
        done = self.lint()
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertEqual(done.stdout.splitlines(),
                         ["src/a.hpp:1:1: error: not formatted",
                          "src/a.hpp:2:1: error: slow [performance]", "3 files, 2 findings"])

    def test_scale_is_checked_with_the_rest(self):
        (self.root / "scale" / "c.cpp").write_text("SLOW BAD\n")
        done = self.lint()
        self.assertEqual(done.returncode, 1, done.stderr)
        self.assertEqual(done.stdout.splitlines(),
                         ["scale/c.cpp:1:1: error: not formatted",
                          "scale/c.cpp:2:1: error: slow [performance]", "4 files, 2 findings"])

    def test_changed_header_of_scale_brings_what_includes_it(self):
        (self.root / "scale" / "c.hpp").write_text("int c();\n")
        (self.root / "scale" / "c.cpp").write_text('#include "c.hpp"\nSLOW\n')
        self.git("add", "scale")
        self.commit()
        self.assertEqual(self.lint("--changed").returncode, 0)
        (self.root / "scale" / "c.hpp").write_text("int c(int);\n")
        self.assertEqual(self.lint("--changed").returncode, 1)

    def test_fix_formats(self):
        self.write("b.cpp", "BAD")
        self.assertEqual(self.lint("--fix").returncode, 0)
        self.assertEqual((self.root / "src" / "b.cpp").read_text(), "good\n")

    def test_changed_passes_over_the_rest(self):
        self.write("b.cpp", "BAD")
        self.commit()
        self.write("a.cpp", '#include "a.hpp"\nint a;')
        done = self.lint("--changed")
        self.assertEqual(done.returncode, 0, done.stdout)
        self.assertIn("1 files", done.stdout)
        self.assertEqual(self.lint("--changed", "HEAD~1").returncode, 1)

    def test_changed_header_brings_what_includes_it(self):
        self.write("a.cpp", '#include "a.hpp"\nSLOW')
        self.commit()
        self.assertEqual(self.lint("--changed").returncode, 0)
        self.write("a.hpp", "int a(int);")
        self.assertEqual(self.lint("--changed").returncode, 1)

    def test_format_only(self):
        self.write("b.cpp", "SLOW")
        self.assertEqual(self.lint("--format-only").returncode, 0)

    def test_cannot_run(self):
        self.assertEqual(self.lint("--unknown").returncode, 2)
        self.assertEqual(self.lint("--changed", "no-such-commit").returncode, 2)
        (self.programs / "clang-tidy").write_text("#!/bin/sh\necho LLVM version 14\nexit 1\n")
        self.assertEqual(self.lint().returncode, 2)
        (self.programs / "clang-format").write_text("#!/bin/sh\necho clang-format version 15.0\n")
        done = self.lint()
        self.assertEqual(done.returncode, 2)
        self.assertIn("release 14 is needed", done.stderr)


if __name__ == "__main__":
    unittest.main()
