#!/usr/bin/env python3
"""Runs the measured scenarios and prints one table.

Writes results.json and plot.png into the folder given by --out.
"""

import argparse
import dataclasses
import json
import pathlib
import statistics
import subprocess
import sys
import time

from bench_scenarios import SCENARIOS


def options():
    parser = argparse.ArgumentParser(prog="Utilities/bench", description=__doc__)
    parser.add_argument("scenarios", nargs="*", metavar="SCENARIO")
    parser.add_argument("--list", action="store_true", help="list the scenarios")
    parser.add_argument("--seeds", default="1,2,3", help="seeds, separated by commas")
    parser.add_argument("--out", default="out/bench", help="folder for the results")
    chosen = parser.parse_args()
    unknown = set(chosen.scenarios) - set(SCENARIOS)
    if unknown:
        parser.error(f"no scenario {', '.join(sorted(unknown))}; see --list")
    return chosen


def collect(names, seeds):
    """Returns the rows of each seed, by scenario and measure."""
    rows = {}
    for name in names:
        for seed in seeds:
            begin = time.monotonic()
            for row in SCENARIOS[name](seed):
                rows.setdefault((row.scenario, row.measure), []).append(row)
            print(f"{name}, seed {seed}: {time.monotonic() - begin:.0f} s",
                  file=sys.stderr, flush=True)
    return rows


def table(rows):
    """Returns the lines of a Markdown table with all seeds in each row."""
    lines = ["| scenario | measure | target | measured (each seed) | met | baselines (median) |",
             "| --- | --- | --- | --- | --- | --- |"]
    for (scenario, measure), runs in rows.items():
        values = ", ".join(f"{row.value:g}" for row in runs)
        met = f"{sum(bool(row.meets()) for row in runs)}/{len(runs)}" if runs[0].target else ""
        names = runs[0].baselines
        base = ", ".join(
            f"{name} {statistics.median(row.baselines[name] for row in runs):g}" for name in names)
        lines.append(f"| {scenario} | {measure} | {runs[0].target} | {values} | {met} | {base} |")
    return lines


def plot(rows, folder):
    """Draws the ratios beside their baselines, if gnuplot is installed."""
    data, ticks = [], []
    for (scenario, measure), runs in rows.items():
        if not runs[0].baselines or "/" not in measure:
            continue
        base = statistics.median(max(row.baselines.values()) for row in runs)
        ours = statistics.median(row.value for row in runs)
        ticks.append(f'"{scenario}" {len(data)}')
        data.append(f"{len(data)} {ours} {base}")
    if not data:
        return
    (folder / "plot.dat").write_text("\n".join(data) + "\n")
    script = (
        f'set terminal png size 1000,500; set output "{folder}/plot.png"\n'
        "set style data histogram; set style fill solid; set logscale y\n"
        'set ylabel "ratio (1 is undisturbed)"; set xtics rotate by -20\n'
        f"set xtics ({', '.join(ticks)})\nset bmargin 6\n"
        f'plot "{folder}/plot.dat" using 2 title "turmericpass", '
        '"" using 3 title "worst baseline"\n')
    try:
        subprocess.run(["gnuplot"], input=script, text=True, check=True)
    except (OSError, subprocess.CalledProcessError) as failure:
        print(f"no plot: {failure}", file=sys.stderr)


def main():
    chosen = options()
    if chosen.list:
        for name, function in SCENARIOS.items():
            print(f"{name:15} {function.__doc__.splitlines()[0]}")
        return 0
    seeds = [int(seed) for seed in chosen.seeds.split(",")]
    rows = collect(chosen.scenarios or list(SCENARIOS), seeds)
    folder = pathlib.Path(chosen.out)
    folder.mkdir(parents=True, exist_ok=True)
    result = [dataclasses.asdict(row) for runs in rows.values() for row in runs]
    (folder / "results.json").write_text(json.dumps(result, indent=1))
    print("\n".join(table(rows)))
    plot(rows, folder)
    missed = [row for runs in rows.values() for row in runs if row.meets() is False]
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main())
