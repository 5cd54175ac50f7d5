# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""A settings file that changes is taken up whole or refused whole, and the process lives on."""

import json
import os
import signal
import subprocess
import tempfile
import threading

from common import main, wait_for
from loomlab import program

BASE = {
    "role": "gateway", "box": "g1", "dataCentre": "z1", "region": "r1",
    "peers": "127.0.0.1:0", "store": "127.0.0.1:1", "seeds": [],
    "bounds": {"drainMs": 2000, "stopSeconds": 2, "retryExtra": 100},
    "gateway": {"callers": "127.0.0.1:0", "readiness": "127.0.0.1:0", "addresses": "127.0.0.1:0"},
}


class Gateway:
    """A gateway that reaches no store, its settings file, and the lines that it logs."""

    def __enter__(self):
        self.folder = tempfile.TemporaryDirectory()
        self.path = os.path.join(self.folder.name, "settings.json")
        self.write(BASE)
        self.lines = []
        self.process = subprocess.Popen([program("loomjunctiond"), "--config", self.path],
                                        stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)
        threading.Thread(target=self._read, daemon=True).start()
        try:
            wait_for("the start", lambda: self.events("started"))
        except Exception:
            self.__exit__()
            raise
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.folder.cleanup()

    def _read(self):
        for line in self.process.stdout:
            if line.startswith("{"):
                self.lines.append(json.loads(line))

    def write(self, settings):
        text = settings if isinstance(settings, str) else json.dumps(settings)
        with open(self.path + ".new", "w") as file:
            file.write(text)
        os.rename(self.path + ".new", self.path)

    def events(self, name):
        return [line for line in list(self.lines) if line["event"] == name]

    def hang_up(self):
        self.process.send_signal(signal.SIGHUP)


def changed(**bounds):
    return dict(BASE, bounds=dict(BASE["bounds"], **bounds))


def test_a_signal_takes_up_every_bound():
    with Gateway() as gateway:
        gateway.write(changed(drainMs=3500.5, retryExtra=7.25, stopSeconds=2.5, configMs=3250))
        gateway.hang_up()
        wait_for("the reload", lambda: gateway.events("reloaded"))
        told = gateway.events("reloaded")[-1]
        assert told["drainMs"] in (3500, 3501) and told["stopMs"] == 2500, told
        assert float(told["retryExtra"]) == 7.25, told
        assert told["configMs"] == 3250, told


def test_a_file_that_changes_without_a_signal_is_taken_up():
    with Gateway() as gateway:
        gateway.write(changed(drainMs=2750))
        wait_for("the reload", lambda: any(line["drainMs"] == 2750 for line in gateway.events("reloaded")))


def test_wrong_settings_change_nothing_and_name_the_field():
    with Gateway() as gateway:
        for wrong, word in ((changed(drainMs="soon"), "bounds.drainMs"),
                            (dict(BASE, surprise=1), "surprise"), ("{broken", "settings.json")):
            before = len(gateway.events("reload-refused"))
            gateway.write(wrong)
            gateway.hang_up()
            wait_for("the refusal", lambda: len(gateway.events("reload-refused")) > before)
            assert word in gateway.events("reload-refused")[-1]["problem"], wrong
        assert not gateway.events("reloaded")
        assert gateway.process.poll() is None


def test_what_needs_a_restart_is_named():
    with Gateway() as gateway:
        gateway.write(dict(BASE, store="127.0.0.1:2", dataCentre="z2"))
        gateway.hang_up()
        wait_for("the warning", lambda: len(gateway.events("reload-needs-restart")) >= 2)
        fields = {line["field"] for line in gateway.events("reload-needs-restart")}
        assert fields == {"store", "dataCentre"}, fields


def test_regions_of_data_centres_need_no_restart():
    with Gateway() as gateway:
        gateway.write(dict(BASE, regions={"z2": "r2", "z3": "r2"}))
        gateway.hang_up()
        wait_for("the reload", lambda: any(line["regions"] == 2 for line in gateway.events("reloaded")))
        assert not gateway.events("reload-needs-restart")
        gateway.write(dict(BASE, regions={"z2": ["r2"]}))
        gateway.hang_up()
        wait_for("the refusal", lambda: gateway.events("reload-refused"))
        assert "regions.z2" in gateway.events("reload-refused")[-1]["problem"]


def test_signals_in_series_and_during_a_planned_stop():
    with Gateway() as gateway:
        for drain in range(2000, 2020):
            gateway.write(changed(drainMs=drain))
            gateway.hang_up()
        wait_for("the last one", lambda: any(line["drainMs"] == 2019 for line in gateway.events("reloaded")))
        gateway.process.send_signal(signal.SIGTERM)
        gateway.hang_up()
        assert gateway.process.wait(timeout=60) == 0
        assert gateway.events("stopped")


if __name__ == "__main__":
    main(test_a_signal_takes_up_every_bound,
         test_a_file_that_changes_without_a_signal_is_taken_up,
         test_wrong_settings_change_nothing_and_name_the_field,
         test_what_needs_a_restart_is_named,
         test_regions_of_data_centres_need_no_restart,
         test_signals_in_series_and_during_a_planned_stop)
