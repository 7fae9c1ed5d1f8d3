"""The command line."""

import argparse
import json
import sys
import time

from ochrehoist import config as configuration
from ochrehoist.net.operators import ask
from ochrehoist.settings import BadInput
from ochrehoist.worker import Worker

CONSOLE = {  # the commands that call the running worker: how, and what for
    "status": (("GET", "/status"), "ask the running worker how it is, and whether it is ready to serve"),
    "metrics": (("GET", "/status/metrics"), "ask it for its figures"),
    "standby": (("POST", "/standby"), "empty it: checks turn bad, what still comes is answered as ever"),
    "active": (("POST", "/active"), "let it take clients again"),
}


def serve(path: str | None) -> int:
    config = configuration.load(path)
    try:
        worker = Worker(config, path)
    except OSError as error:
        raise BadInput(f"setting listen, or an address of the console: {error}") from None
    return worker.run()


def check(path: str) -> int:
    config = configuration.load(path)
    fronts = [name for name, on in (("Thrift", config.listen), ("AJP", config.ajp)) if on]
    print(f"{path}: good; {config.name}, {len(config.settings.classes)} classes, fronts: {', '.join(fronts)}")
    return 0


def console(command: str, path: str | None, every: float | None = None) -> int:
    """Calls the running worker as an operator does: 0 where it says yes, 1 where it says no or nothing."""
    config = configuration.load(path)
    if config.admin is None:
        raise BadInput("setting admin: missing")
    while True:
        try:
            yes, text = ask(config.admin, *CONSOLE[command][0])
        except OSError as error:
            print(f"ochrehoist: no answer from the worker: {error}", file=sys.stderr)
            return 1
        if every is None:
            print(text, end="")
            return 0 if yes else 1
        values = json.loads(text)
        flat = (f"{key}={value}" for key, value in values.items() if not isinstance(value, dict))
        print(time.strftime("%H:%M:%S"), *flat, flush=True)
        try:
            time.sleep(max(0.1, every))
        except KeyboardInterrupt:
            return 0


def main(arguments: list[str]) -> int:
    parser = argparse.ArgumentParser(prog="ochrehoist", description="An admission-controlling worker.")
    parser.add_argument("--config", metavar="FILE", help="configuration, .toml (appliance) or .json")
    commands = parser.add_subparsers(dest="command", metavar="COMMAND")
    commands.add_parser("run", help="serve in the foreground (the default)")
    commands.add_parser("check", help="read a configuration and say what is wrong").add_argument("file")
    for name, (_, text) in CONSOLE.items():
        command = commands.add_parser(name, help=text)
        if name == "status":
            command.add_argument("--every", metavar="SECONDS", type=float,
                                 help="and go on asking, a line each time")
    given = parser.parse_args(arguments)
    try:
        if given.command == "check":
            return check(given.file)
        if given.command in CONSOLE:
            return console(given.command, given.config, getattr(given, "every", None))
        return serve(given.config)
    except BadInput as error:
        print(f"ochrehoist: {error}", file=sys.stderr)
        return 2


def command_line() -> None:
    sys.exit(main(sys.argv[1:]))


if __name__ == "__main__":
    command_line()
