"""Tests of the routes for operators and load balancers."""

import orjson
from mimosapoint.errors import ConfigurationStale
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http.tests.fakes import AppFixture

PATCHES = "/v1/configuration/patches"
PATCH = orjson.dumps({"id": "p1", "base": 3, "operations": [{"op": "remove", "path": "/zones/z"}]})


class OperatorRoutesTest(TrioTestCase):
    async def test_patches_and_configuration(self):
        async with AppFixture().served() as node:
            for target in ("/v1/configuration", "/v1/configuration?version=3"):
                shown = orjson.loads((await node.call("GET", target))[2])
                self.assertEqual(3, shown["version"])
            node.operators.errors.append(ConfigurationStale(8))
            stale = await node.call("POST", PATCHES, PATCH)
            self.assertEqual((409, 8), (stale[0], orjson.loads(stale[2])["current"]))
            self.assertEqual(200, (await node.call("POST", PATCHES, PATCH))[0])
            self.assertEqual("/zones/z", node.operators.patches[0].operations[0]["path"])
            result = orjson.loads((await node.call("GET", PATCHES + "/p1"))[2])
            self.assertEqual((True, ["node-1"]), (result["accepted"], result["nodes_in_force"]))
            node.operators.reject("p2", "/zones/z: claimed")
            rejected = await node.call("POST", PATCHES, PATCH.replace(b"p1", b"p2"))
            self.assertEqual(422, rejected[0])
            self.assertEqual(["/zones/z: claimed"], orjson.loads(rejected[2])["reasons"])
            retained = orjson.loads((await node.call("GET", PATCHES))[2])["patches"]
            results = [(result["id"], result["accepted"]) for result in retained]
            self.assertEqual([("p1", True), ("p2", False)], results)

    async def test_status_health_and_metrics(self):
        async with AppFixture().served() as node:
            for ready, expected in ((True, 200), (False, 503)):
                node.operators.is_ready = ready
                self.assertEqual(expected, (await node.call("GET", "/readyz"))[0])
                self.assertEqual(200, (await node.call("GET", "/healthz"))[0])
            self.assertEqual(b"metric 1\n", (await node.call("GET", "/metrics"))[2])
            status = await node.call("GET", "/v1/status")
            self.assertEqual({"node": "node-1"}, orjson.loads(status[2]))
