"""The fit of tools/slopes on figures whose slopes are known."""

import importlib.machinery
import importlib.util
import pathlib
import unittest

TOOL = pathlib.Path(__file__).resolve().parent.parent / "tools" / "slopes"
loader = importlib.machinery.SourceFileLoader("slopes", str(TOOL))
spec = importlib.util.spec_from_loader("slopes", loader)
slopes = importlib.util.module_from_spec(spec)
loader.exec_module(slopes)


def window(workers, starts, cpu):
    return {"workers": workers, "starts_per_s": starts, "cpu": cpu}


CAUSES = {"workers": lambda w: w["workers"], "starts_per_s": lambda w: w["starts_per_s"]}


class Fit(unittest.TestCase):
    def test_known_slopes_are_found(self):
        samples = [[1, 10], [2, 5], [4, 1], [8, 9]]
        found, base = slopes.least_squares(samples, [3 + 2 * a + 0.5 * b for a, b in samples])
        self.assertAlmostEqual(found[0], 2)
        self.assertAlmostEqual(found[1], 0.5)
        self.assertAlmostEqual(base, 3)

    def test_a_cause_that_would_help_is_left_out(self):
        samples = [[1, 10], [2, 5], [4, 1], [8, 9]]
        found, _ = slopes.least_squares(samples, [3 + 2 * a - 0.5 * b for a, b in samples])
        self.assertEqual(found[1], 0)
        self.assertGreater(found[0], 0)

    def test_a_constant_cause_is_refused(self):
        with self.assertRaises(ValueError):
            slopes.least_squares([[2], [2], [2]], [1, 2, 3])

    def test_a_size_beyond_the_fit_is_foretold(self):
        runs = {str(n): {"windows": [window(n, n / 10 + k, 0.1 + 0.001 * n + 0.02 * (n / 10 + k))
                                     for k in (0, 3)]} for n in (100, 200, 400)}
        fit = slopes.fitted(runs, lambda w: w["cpu"], CAUSES)
        self.assertAlmostEqual(fit["explained"], 1)
        self.assertAlmostEqual(fit["slopes"]["starts_per_s"], 0.02)
        self.assertAlmostEqual(fit["ranges"]["workers"][1], 0.001)
        self.assertAlmostEqual(
            slopes.foretold(fit, CAUSES, [window(1000, 50, None)]), 0.1 + 1 + 1)

    def test_every_run_has_settings_of_the_same_fields(self):
        fields = {tuple(sorted(run.settings())) for run in slopes.RUNS.values()}
        self.assertEqual(len(fields), 1)


if __name__ == "__main__":
    unittest.main()
