#!/usr/bin/env python3
"""Writes a copy of a site file with other values, drawn at random from a seed, to simulate deployments that differ.

Usage: vary_site.py SITE.toml SEED OUT.toml

A wire.json beside SITE.toml is copied to the folder of OUT.toml.
"""
import random
import re
import shutil
import sys
from pathlib import Path


def draw(rng):
    """Returns the new values by name of the site file's field."""
    share = lambda maximum: round(rng.uniform(0.1, maximum), 2)
    changes = {
        "fenced": rng.choice(["true", "false"]),
        "guards": rng.choice(["true", "false"]),
        "hold_max_ms": rng.choice([2500.0, 4000.0, 6000.0, 15000.0]),
        "gang_ms": rng.choice([2000, 3000, 5000]),
        "stop_ms": rng.choice([200.0, 400.0, 1500.0]),
        "tx_ms": rng.choice([2.0, 5.0, 15.0, 30.0]),
        "part_writes_per_s": rng.choice([60.0, 100.0, 200.0]),
        "writes_per_s": rng.choice([150.0, 400.0, 800.0]),
        "reads_per_s": rng.choice([300.0, 2000.0]),
        "cpu_share": rng.choice([0.15, 0.25, 0.5]),
        "cross_zone_ms": rng.choice([0.5, 1.5, 5.0]),
    }
    jobs = {
        "near": share(0.5),
        "timed": share(0.3),
        "needs": share(0.3),
        "saves": share(0.9),
        "tight": share(0.5),
    }
    changes.update({name: jobs[name] for name in jobs if rng.random() < 0.5})
    return changes


def main():
    site, seed, out = Path(sys.argv[1]), int(sys.argv[2]), Path(sys.argv[3])
    text = site.read_text()
    changes = draw(random.Random(seed))
    for name, value in changes.items():
        text, count = re.subn(rf"\b{name} = (true|false|[0-9.]+)", f"{name} = {value}", text)
        print(f"{name} = {value} ({count} times)")
    out.write_text(text)
    wire = site.parent / "wire.json"
    if wire.exists():
        shutil.copy(wire, out.parent)


if __name__ == "__main__":
    main()
