"""The program's entry point. A plain `run` does not import the command-line interface."""

import sys

from ochrehoist.errors import InvalidInputError

EXIT_INVALID_INPUT = 2


def run_worker() -> int:
    """Runs a worker with the configuration that the environment names. Returns the exit code."""
    from ochrehoist.app.worker import serve

    try:
        return serve(None)
    except InvalidInputError as error:
        print(f"ochrehoist: {error}", file=sys.stderr)
        return EXIT_INVALID_INPUT


def command_line() -> None:
    """Runs the command `ochrehoist`; ends the process."""
    if sys.argv[1:] in ([], ["run"]):
        sys.exit(run_worker())
    from ochrehoist.cli.main import main

    main(prog_name="ochrehoist")


if __name__ == "__main__":
    command_line()
