"""Where the program starts. The command line and its library are loaded only for what is not a plain
`run`."""

import sys

from ochrehoist.errors import InvalidInputError


def plain_run() -> int:
    from ochrehoist.app.worker import serve

    try:
        return serve(None)
    except InvalidInputError as error:
        print(f"ochrehoist: {error}", file=sys.stderr)
        return 2


def command_line() -> None:
    if sys.argv[1:] in ([], ["run"]):
        sys.exit(plain_run())
    from ochrehoist.cli.main import main

    main(prog_name="ochrehoist")


if __name__ == "__main__":
    command_line()
