# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""The deploy file's templates, filled as the platform fills them, are accepted by the daemon."""

import json
import os
import re
import subprocess
import tempfile

from common import main
from loomlab import program

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))

BOUNDS = {"drain_ms": 2000, "grace_s": 8, "ttl_max_s": 5, "version_ms": 8000,
          "config_apply_ms": 3000, "retry_window_s": 10, "retry_ratio": 0.2, "retry_extra": 100}
COMMON = {"zone": "dfw-a", "region": "dfw", "internal_ports": [7700, 7715],
          "seeds": ["10.1.0.40:8000", "10.2.0.37:8000"], "bounds": BOUNDS,
          "fault_tolerance": {"machines": 2, "zones": 1, "regions": 0},
          "provider": {"address": "10.200.1.7:8007"}}
FRONT = dict(COMMON, node="front-dfw-a-1", ip="10.1.0.40",
             zones={"dfw-a": "dfw", "iad-a": "iad"},
             listen={"front": "10.1.0.40:8005", "ready": "10.1.0.40:8002",
                     "control": "10.1.0.40:8000", "directory": "10.1.0.40:8009"},
             limits={"link_mbps": 1000.0, "memory_mb": 260, "max_fds": 4200})
SIDE = dict(COMMON, node="side-dfw-a-1", ip="10.1.0.43", listen={}, app="10.1.0.43:8001",
            service="scorer", limits={"link_mbps": 9.4, "memory_mb": 128, "max_fds": 2048})


def value(fields, path):
    for part in path.split("."):
        fields = fields[int(part)] if isinstance(fields, list) else fields[part]
    return fields


def fill(template, fields):
    def gap(match):
        path, _, form = match.group(1).partition("|")
        found = value(fields, path)
        return json.dumps(found) if form == "json" else str(found)
    return re.sub(r"\{\{([^}]+)\}\}", gap, template)


def check(text):
    with tempfile.NamedTemporaryFile("w", suffix=".toml") as file:
        file.write(text)
        file.flush()
        return subprocess.run([program("loomjunctiond"), "--check", "--config", file.name],
                              capture_output=True, text=True)


def template(name):
    with open(os.path.join(ROOT, "deploy", name)) as file:
        return file.read()


def test_templates_are_accepted():
    for name, fields in (("gateway.json", FRONT), ("stager.json", SIDE)):
        done = check(fill(template(name), fields))
        assert done.returncode == 0, (name, done.stderr)


def test_bounds_may_be_fractions():
    bounds = {"drain_ms": 2000.5, "grace_s": 8.5, "ttl_max_s": 0.5, "version_ms": 8000.0,
              "config_apply_ms": 3000.5, "retry_window_s": 2.5, "retry_ratio": 0.15, "retry_extra": 34.421052631578945}
    for name, fields in (("gateway.json", FRONT), ("stager.json", SIDE)):
        done = check(fill(template(name), dict(fields, bounds=bounds)))
        assert done.returncode == 0, (name, done.stderr)


def test_every_bound_comes_from_the_platform():
    for name in ("gateway.json", "stager.json"):
        bounds = re.search(r'"bounds": \{(.*?)\n    \}', template(name), re.S).group(1)
        for line in bounds.strip().splitlines():
            assert re.search(r": \{\{bounds\.\w+\}\},?$", line), (name, line)


def test_every_role_is_given_the_time_of_a_configuration():
    for name, fields in (("gateway.json", FRONT), ("stager.json", SIDE)):
        settings = json.loads(fill(template(name), fields))
        assert settings["bounds"]["configMs"] == 3000, name
        for wrong in (-1, "3 s", 1e9, None):
            settings["bounds"]["configMs"] = wrong
            done = check(json.dumps(settings))
            assert done.returncode == 2 and "bounds.configMs" in done.stderr, (wrong, done)
            assert "no such field" not in done.stderr, done


def test_wrong_settings_name_the_field():
    good = json.loads(fill(template("gateway.json"), FRONT))
    for change, word in (
            (lambda s: s.pop("store"), "store"),
            (lambda s: s.update(store="nowhere"), "store"),
            (lambda s: s.update(seeds=["10.1.0.40"]), "seeds"),
            (lambda s: s["bounds"].update(drainMs=-1), "bounds.drainMs"),
            (lambda s: s["bounds"].update(retryExtra="many"), "bounds.retryExtra"),
            (lambda s: s["bounds"].update(stopSeconds=1e9), "bounds.stopSeconds"),
            (lambda s: s["losses"].update(dataCentres=-1), "losses.dataCentres"),
            (lambda s: s["losses"].update(regions="some"), "losses.regions"),
            (lambda s: s["gateway"].pop("callers"), "gateway.callers"),
            (lambda s: s.update(regions=["dfw"]), "'regions'"),
            (lambda s: s.update(regions=None), "'regions'"),
            (lambda s: s["regions"].update({"iad-a": 3}), "regions.iad-a"),
            (lambda s: s["regions"].update({"iad-a": ""}), "regions.iad-a"),
            (lambda s: s.update(surprise=1), "surprise")):
        settings = json.loads(json.dumps(good))
        change(settings)
        done = check(json.dumps(settings))
        assert done.returncode == 2 and word in done.stderr, (word, done)


def test_what_runs_is_what_is_built():
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        text = file.read()
    for path in re.findall(r'^template = "([^"]+)"', text, re.M):
        assert os.path.exists(os.path.join(ROOT, path)), path
    for run in re.findall(r'^run = "([^"]+)"', text, re.M):
        assert run.split()[0] == "target/src/loomjunctiond/loomjunctiond", run


if __name__ == "__main__":
    main(test_templates_are_accepted,
         test_bounds_may_be_fractions,
         test_every_bound_comes_from_the_platform,
         test_every_role_is_given_the_time_of_a_configuration,
         test_wrong_settings_name_the_field,
         test_what_runs_is_what_is_built)
