# This file is part of loomjunction.
# SPDX-License-Identifier: BSD-2-Clause
"""Regions and evacuations at a gateway process that reads a store and is killed and started again."""

import json
from http.server import BaseHTTPRequestHandler

from common import main, wait_for
from gatewaylab import OPERATORS, REPLICAS, Gateway, Store, serve
from loomlab import HOST


class Replica:
    """A plain replica that counts its requests."""

    def __init__(self, store, name, zone):
        self.count = 0
        replica = self

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def log_message(self, *_):
                pass

            def do_POST(self):
                self.rfile.read(int(self.headers.get("Content-Length", 0)))
                replica.count += 1
                self.send_response(200)
                self.send_header("Loomjunction-Request-Id", self.headers["Loomjunction-Request-Id"])
                self.send_header("Loomjunction-Response-Signature", "s")
                self.send_header("Content-Length", "0")
                self.end_headers()

        self.server = serve(Handler)
        store.write(REPLICAS, name, json.dumps(
            {"service": "plain", "address": "%s:%d" % self.server.server_address, "zone": zone,
             "slots": 6, "state": "ready", "models": []}))


def config(version):
    route = {"host": HOST, "kind": "safe", "timeout_ms": 5000, "goal_ms": 500, "max_attempts": 2,
             "service": "plain", "public": True}
    return json.dumps({"version": version, "routes": [
        dict(route, name="free", path_prefix="/free/"),
        dict(route, name="bound", path_prefix="/bound/", allowed_regions=["r2"])],
        "services": [{"name": "plain", "max_conns": 50}]})


def test_evacuation_holds_over_a_restart_and_regions_bind():
    store = Store()
    near, far, unknown = (Replica(store, name, zone)
                          for name, zone in (("a", "z1"), ("b", "z2"), ("c", "z3")))
    store.write(OPERATORS, "config", config(1))
    gateway = Gateway(store)
    try:
        for _ in range(5):
            assert gateway.call("/bound/a")[0] == 200
        assert (near.count, far.count, unknown.count) == (0, 5, 0)
        wait_for("the unknown region", lambda: gateway.events("region-unknown"))

        store.write(OPERATORS, "evacuate/z2", '{"by":"an operator"}')
        store.write(OPERATORS, "evacuate/z9", "{}")
        store.write(OPERATORS, "evacuate/", "{}")
        store.write(OPERATORS, "evacuate/z1", "[]")
        wait_for("the evacuations", lambda: len(gateway.events("data-centre-evacuated")) == 2)
        begun = {line["dataCentre"]: line["replicas"] for line in gateway.events("data-centre-evacuated")}
        assert begun == {"z2": 1, "z9": 0}, begun
        wait_for("the warning", lambda: gateway.events("evacuation-without-replicas"))
        assert gateway.events("evacuation-without-replicas")[0]["dataCentre"] == "z9"
        wait_for("the refusals", lambda: len(gateway.events("operator-record-refused")) == 2)
        problems = [line["problem"].split(":")[0] for line in gateway.events("operator-record-refused")]
        assert problems == ["key", "value"], problems
        wait_for("the gauge", lambda: gateway.gauge("loom_evacuated_data_centres") == 2)

        for _ in range(2):
            for _ in range(5):
                assert gateway.call("/free/a")[0] == 200
            status, headers, text = gateway.call("/bound/a")
            assert status == 503 and "allowed region" in text and "Retry-After" in headers, text
            wait_for("the call line", lambda: any(
                "allowed region" in line["reason"] for line in gateway.events("call")))
            assert far.count == 5, far.count
            gateway.stop()
            gateway.start()

        store.write(OPERATORS, "evacuate/z2", "")
        wait_for("the end", lambda: gateway.events("data-centre-restored"))
        assert gateway.call("/bound/a")[0] == 200
        assert far.count == 6, far.count
        assert len(gateway.events("region-unknown")) <= 1
    finally:
        gateway.stop()


if __name__ == "__main__":
    main(test_evacuation_holds_over_a_restart_and_regions_bind)
