"""Tests of the public names."""

import unittest

import godwitturn


class TestPublicNames(unittest.TestCase):
    """Guards against a renamed module that breaks a public name."""

    def test_every_public_name_resolves(self) -> None:
        for name in godwitturn.__all__:
            found = getattr(godwitturn, name)
            self.assertTrue(found.__doc__, name)

    def test_error_for_an_unknown_name_suggests_a_public_one(self) -> None:
        with self.assertRaisesRegex(AttributeError, "'Balancr'.*Balancer"):
            godwitturn.Balancr  # noqa: B018
