"""Entry point of the package: finds the configuration file and loads it as a Config."""

import os
from collections.abc import Generator

from ochrehoist.config.environment import AJP_FILE, CONFIG_FILE, Environment
from ochrehoist.config.platform_file import read_platform_in_steps
from ochrehoist.config.schema import Config
from ochrehoist.steps import run_to_completion

DEFAULT_APPLIANCE_FILE = "deploy/ajp.toml"


def load_in_steps(
    path: str | None = None, environment: Environment = os.environ, active_config: Config | None = None
) -> Generator[None, None, Config]:
    """Loads the file at `path`, by default the platform's file or else the appliance's.

    EDGE_CONFIG names the platform's file, OCHREHOIST_AJP the appliance's. The unchanged tenants and routes of
    `active_config` are reused as the same objects, and if all are unchanged, as the same tuple.
    Raises InvalidInputError, which names the key and the place in the file.
    """
    if path and path.endswith(".json"):
        return (yield from read_platform_in_steps(path, environment, active_config))
    if not path and environment.get(CONFIG_FILE):
        return (yield from read_platform_in_steps(environment[CONFIG_FILE], environment, active_config))
    appliance_file = path or environment.get(AJP_FILE) or DEFAULT_APPLIANCE_FILE
    return (yield from _appliance_in_steps(appliance_file, environment, active_config))


def load(path: str | None = None, environment: Environment = os.environ) -> Config:
    """Loads a configuration like load_in_steps(), but in a single step."""
    return run_to_completion(load_in_steps(path, environment))


def load_appliance(path: str, environment: Environment) -> Config:
    """Loads an appliance's file, regardless of its file name extension."""
    return run_to_completion(_appliance_in_steps(path, environment, None))


def _appliance_in_steps(
    path: str, environment: Environment, active_config: Config | None
) -> Generator[None, None, Config]:
    from ochrehoist.config import appliance_file  # imported on demand: saves memory in platform workers

    return (yield from appliance_file.read_appliance_in_steps(path, environment, active_config))
