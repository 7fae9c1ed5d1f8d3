"""The entry to all configuration: finds the file to read, and gives the Config that it says."""

import os
from collections.abc import Generator

from ochrehoist.config.environment import AJP_FILE, CONFIG_FILE, Environment
from ochrehoist.config.platform_file import read_platform_in_steps
from ochrehoist.config.schema import Config
from ochrehoist.steps import run_to_completion

DEFAULT_APPLIANCE_FILE = "deploy/ajp.toml"


def load_in_steps(
    path: str | None = None, environment: Environment = os.environ, before: Config | None = None
) -> Generator[None, None, Config]:
    """The configuration of the file at `path`, else of the platform's, else of the appliance's.

    EDGE_CONFIG names the platform's file, OCHREHOIST_AJP the appliance's. `before` is the Config in force:
    its tenants and routes that did not change come back as the same objects, and where all are the same, as
    the same tuple. Raises InvalidInputError, which names key and place.
    """
    if path and path.endswith(".json"):
        return (yield from read_platform_in_steps(path, environment, before))
    if not path and environment.get(CONFIG_FILE):
        return (yield from read_platform_in_steps(environment[CONFIG_FILE], environment, before))
    appliance_file = path or environment.get(AJP_FILE) or DEFAULT_APPLIANCE_FILE
    return (yield from _appliance_in_steps(appliance_file, environment, before))


def load(path: str | None = None, environment: Environment = os.environ) -> Config:
    """As load_in_steps(), without a pause."""
    return run_to_completion(load_in_steps(path, environment))


def load_appliance(path: str, environment: Environment) -> Config:
    """The configuration of an appliance's file, whatever the file is called."""
    return run_to_completion(_appliance_in_steps(path, environment, None))


def _appliance_in_steps(
    path: str, environment: Environment, before: Config | None
) -> Generator[None, None, Config]:
    from ochrehoist.config import appliance_file  # takes memory that the platform's worker does not need

    return (yield from appliance_file.read_appliance_in_steps(path, environment, before))
