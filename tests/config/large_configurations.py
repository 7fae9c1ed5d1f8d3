"""Builds configurations of any size, writes them to files, and counts the steps of reading them."""

import tempfile
import unittest
from pathlib import Path
from unittest import mock

import tomli

from ochrehoist.config import loader as config
from ochrehoist.config.tenants import TenantReader
from ochrehoist.errors import InvalidInputError
from ochrehoist.lab.toml import toml_file
from ochrehoist.steps import run_to_completion
from tests.support.site_settings import site_settings


def tenant(index, **changes):
    """Returns the tenant with the given index."""
    return {"Name": f"t{index}", "QuotaPerS": 10.5 + index % 7, "Fraction": 0.5} | changes


def rule(index, **changes):
    """Returns the route with the given index."""
    return {
        "uri": f"/service-{index % 340}/r{index}/*",
        "methods": ["GET", "HEAD"],
        "class": "read",
    } | changes


def appliance(tenants, rules, **more):
    """Returns the tables of an appliance's file."""
    ajp = {"listen": "127.0.0.1:0", "rules": rules, "servers": [{"address": "127.0.0.1:9"}]}
    return {
        "name": "n1",
        "admin": "127.0.0.1:0",
        "ajp": ajp,
        "settings": site_settings(Tenants=tenants),
    } | more


def platform(tenants):
    """Returns the content of a platform worker's file."""
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "kernel": "127.0.0.1:9",
        "seed": "1f",
        "settings": site_settings(Tenants=tenants),
    }


def run_counting_steps(generator):
    """Runs a generator. Returns its result and the number of its steps."""
    count = 1
    while True:
        try:
            next(generator)
        except StopIteration as end:
            return end.value, count
        count += 1


class ConfigurationFilesTestCase(unittest.TestCase):
    """Base class with methods that write configurations to files and load them."""

    def setUp(self):
        """Creates the temporary folder."""
        self.folder = tempfile.TemporaryDirectory()
        self.addCleanup(self.folder.cleanup)

    def file(self, text, name="a.toml"):
        """Writes a file and returns its path."""
        path = Path(self.folder.name, name)
        path.write_bytes(text if isinstance(text, bytes) else text.encode())
        return str(path)

    def load(self, text, before=None, name="a.toml"):
        """Loads a text, optionally as a reload that replaces the configuration `before`."""
        return run_to_completion(config.load_in_steps(self.file(text, name), {}, before))

    def rejection_message(self, text, before=None, name="a.toml"):
        """Returns the error message with which a text is rejected."""
        with self.assertRaises(InvalidInputError) as raised:
            self.load(text, before, name)
        return str(raised.exception)


TENANT_COUNT, ROUTE_COUNT = 58_000, 3_800


def large_toml(tenants, routes, **changes):
    """Returns the TOML text of a large appliance; `changes` has replacements, such as t7 for tenant 7."""
    return toml_file(
        appliance(
            [changes.get(f"t{index}") or tenant(index) for index in range(tenants)],
            [changes.get(f"r{index}") or rule(index) for index in range(routes)],
        )
    )


class CountedLoad:
    """Counter of parsed characters and created tenants during one load."""

    def __init__(self):
        (
            self.parsed_chars,
            self.longest_document_chars,
            self.parser_calls,
            self.created_tenants,
            self.max_created_per_step,
            self.created_in_step,
        ) = 0, 0, 0, 0, 0, 0

    def read(self, path, before):
        """Loads a file, optionally as a reload that replaces the configuration `before`."""

        def loads(text, original_loads=tomli.loads):
            self.parsed_chars += len(text)
            self.parser_calls += 1
            self.longest_document_chars = max(self.longest_document_chars, len(text))
            return original_loads(text)

        generator = config.load_in_steps(path, {}, before)
        with mock.patch.object(tomli, "loads", loads):
            create_tenant = TenantReader._create_tenant

            def counting_create_tenant(reader, data, path_prefix):
                self.created_tenants += 1
                self.created_in_step += 1
                return create_tenant(reader, data, path_prefix)

            with mock.patch.object(TenantReader, "_create_tenant", counting_create_tenant):
                while True:
                    self.created_in_step = 0
                    try:
                        next(generator)
                    except StopIteration as end:
                        return end.value
                    finally:
                        self.max_created_per_step = max(self.max_created_per_step, self.created_in_step)
