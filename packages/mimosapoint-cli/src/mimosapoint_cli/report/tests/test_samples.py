"""Tests of statistics in bounded memory."""

import unittest

from mimosapoint_cli.report.samples import BoundedCounts, BoundedMap, LargestValues, Sample
from mimosapoint_cli.report.time_bins import MOST_BINS, OTHER, TimeBins


class TimeBinsTest(unittest.TestCase):
    def test_widening_keeps_the_sum_and_the_place_of_values(self):
        bins = TimeBins()
        for second in range(90_000, -1, -9):
            bins.add(1e9 + second, "a", 2)
        series = bins.series()
        values = series.values_by_series["a"]
        self.assertEqual(20_002, sum(values))
        self.assertLessEqual(len(values), MOST_BINS)
        self.assertEqual(300, series.width)
        # Each full interval of 300 s has 33 or 34 of the values, which are 9 s apart.
        self.assertEqual({66, 68}, set(values[1:-1]))
        self.assertLessEqual(series.starts[0], 1e9)

    def test_any_distance_is_covered(self):
        bins = TimeBins(combine=max)
        for time in (1e9, 0.0, 4e9, 1e9 + 1):
            bins.add(time, "a", time)
        values = bins.series().values_by_series["a"]
        self.assertLessEqual(len(values), MOST_BINS)
        self.assertEqual({0.0, 1e9 + 1, 4e9}, set(values))

    def test_further_series_are_added_to_others(self):
        bins = TimeBins(most_series=2)
        for name in "abcdb":
            bins.add(5.0, name)
        self.assertEqual({"b": [2], "a": [1], OTHER: [2]}, bins.series().values_by_series)
        self.assertEqual(["b", "a", OTHER], list(bins.series().values_by_series))


class SamplesTest(unittest.TestCase):
    def test_a_sample_has_the_quantiles_of_the_stream(self):
        sample = Sample()
        for number in range(100_000):
            sample.add(number)
        self.assertEqual((100_000, 99_999), (sample.count, sample.largest))
        self.assertAlmostEqual(50_000, sample.quantile(0.5), delta=4000)
        self.assertEqual(0.0, Sample().quantile(0.5))

    def test_the_largest_values_are_kept_the_earliest_first(self):
        largest = LargestValues(size=2)
        for value, item in ((1, "a"), (3, "b"), (3, "c"), (2, "d")):
            largest.add(value, item)
        self.assertEqual([(3, "b"), (3, "c")], largest.items())

    def test_counts_and_maps_stay_small(self):
        counts, values_by_key = BoundedCounts(size=2), BoundedMap(size=2)
        for key in "abca":
            counts.add(key)
            values_by_key.put(key, key)
        self.assertEqual([("a", 2), ("b", 1), ("other", 1)], counts.largest())
        self.assertEqual((None, "c", "a"), tuple(map(values_by_key.get, "bca")))
        self.assertEqual(2, values_by_key.forgotten)


if __name__ == "__main__":
    unittest.main()
