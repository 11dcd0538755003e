"""Tests of authentication by bearer tokens."""

import attrs
from mimosapoint.configuration import Configuration, Service, Workspace, validation_errors
from mimosapoint.testing import TrioTestCase

from mimosapoint_node.http.tests.fakes import AppFixture, job_body, key
from mimosapoint_node.http.tokens import token_digest

PATCH = b'{"id": "p", "base": 3, "operations": [{"op": "remove", "path": "/zones/z"}]}'

CASES = (
    ("GET", "/v1/jobs", b"", None, 401),
    ("GET", "/v1/jobs", b"", "Basic service", 401),
    ("GET", "/v1/jobs", b"", "Bearer", 401),
    ("GET", "/v1/jobs", b"", "Bearer wrong", 401),
    ("GET", "/v1/jobs", b"", "Bearer \xff", 401),
    ("GET", "/v1/jobs", b"", "Bearer service", 200),
    ("GET", "/v1/jobs", b"", "bearer service", 200),
    ("GET", "/v1/jobs?workspace=w", b"", "Bearer service", 200),
    ("GET", "/v1/jobs?workspace=v", b"", "Bearer service", 403),
    ("GET", "/v1/jobs/x", b"", "Bearer service", 404),
    ("GET", "/v1/jobs/x", b"", None, 401),
    ("GET", "/v1/jobs/x/answer", b"", None, 401),
    ("DELETE", "/v1/jobs/x", b"", None, 401),
    ("POST", "/v1/jobs", job_body(), None, 401),
    ("POST", "/v1/jobs", job_body(), "Bearer service", 202),
    ("POST", "/v1/jobs", job_body(), "Bearer operator", 202),
    ("POST", "/v1/jobs", job_body(workspace="v"), "Bearer service", 403),
    ("POST", "/v1/jobs", job_body(service="t"), "Bearer service", 403),
    ("GET", "/v1/jobs?workspace=v", b"", "Bearer operator", 200),
    ("GET", "/v1/jobs", b"", "Bearer operator", 400),
    ("GET", "/v1/configuration", b"", "Bearer operator", 200),
    ("GET", "/v1/configuration", b"", "Bearer service", 403),
    ("GET", "/v1/configuration", b"", None, 401),
    ("POST", "/v1/configuration/patches", PATCH, "Bearer service", 403),
    ("POST", "/v1/configuration/patches", PATCH, None, 401),
    ("POST", "/v1/configuration/patches", PATCH, "Bearer operator", 200),
    ("GET", "/v1/configuration/patches", b"", "Bearer service", 403),
    ("GET", "/v1/configuration/patches/p", b"", "Bearer service", 403),
    ("GET", "/v1/status", b"", "Bearer service", 403),
    ("GET", "/healthz", b"", None, 200),
    ("GET", "/readyz", b"", None, 200),
    ("GET", "/metrics", b"", None, 200),
)


def configuration():
    service = Service(token_digests=(token_digest("old"), token_digest("service")))
    workspaces = {"v": Workspace("r"), "w": Workspace("r", services_by_id={"s": service})}
    return Configuration(3, {}, workspaces, operator_token_digests=(token_digest("operator"),))


class TokensTest(TrioTestCase):
    async def test_each_route_requires_the_right_token(self):
        async with AppFixture(authentication="tokens").served() as node:
            node.operators.current = configuration()
            for method, target, body, authorization, expected in CASES:
                with self.subTest(method=method, target=target, authorization=authorization):
                    headers = key()
                    if authorization is not None:
                        headers.append(("Authorization", authorization.encode("latin-1")))
                    reply = await node.call(method, target, body, headers)
                    self.assertEqual(expected, reply[0])
                    self.assertEqual(expected == 401, "www-authenticate" in reply[1])
            self.assertEqual(["w", "w"], [request.workspace for request in node.jobs.requests])
            self.assertEqual(1, len(node.operators.patches))

    async def test_tokens_are_refused_before_the_first_configuration(self):
        async with AppFixture(authentication="tokens").served() as node:
            node.operators.current = attrs.evolve(configuration(), version=0)
            headers = [("Authorization", "Bearer operator")]
            self.assertEqual(503, (await node.call("GET", "/v1/status", b"", headers))[0])

    def test_digests_in_the_configuration_are_checked(self):
        valid = Configuration(3, operator_token_digests=(token_digest("operator"),))
        self.assertEqual((), validation_errors(valid))
        for invalid in ("service", token_digest("a").upper(), token_digest("a")[1:]):
            with self.subTest(digest=invalid):
                reasons = validation_errors(attrs.evolve(valid, operator_token_digests=(invalid,)))
                self.assertEqual(["/operator_token_digests"], [r.split(":")[0] for r in reasons])
