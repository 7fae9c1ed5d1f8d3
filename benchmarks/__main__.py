"""The command line of the benchmarks: `python -m benchmarks NAME ...`; without a name, the list of them."""

import argparse
import importlib
import sys
from collections.abc import Sequence

from benchmarks.catalog import BENCHMARKS, Benchmark, BenchmarkModule

HELP = ("-h", "--help")


def load(benchmark: Benchmark) -> BenchmarkModule:
    """Import a benchmark; ModuleNotFoundError where a library of its extra is not installed."""
    module: BenchmarkModule = importlib.import_module(benchmark.module)
    return module


def parser_of(benchmark: Benchmark, module: BenchmarkModule) -> argparse.ArgumentParser:
    """The parser of one benchmark's arguments, described by the module's docstring."""
    parser = argparse.ArgumentParser(
        prog=f"python -m benchmarks {benchmark.name}",
        description=module.__doc__,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    module.add_arguments(parser)
    return parser


def print_catalog() -> None:
    """Print a line for each benchmark: what it measures, and in which unit."""
    print("usage: python -m benchmarks NAME [ARGUMENT ...]    (NAME --help for its arguments)\n")
    width = max(len(benchmark.name) for benchmark in BENCHMARKS)
    for benchmark in BENCHMARKS:
        print(f"{benchmark.name:{width}}  {benchmark.measures} [{benchmark.unit}]")


def main(arguments: Sequence[str]) -> int:
    """Run the benchmark that is named first; the exit code, 2 where there is no such benchmark."""
    if not arguments or arguments[0] in HELP:
        print_catalog()
        return 0
    by_name = {benchmark.name: benchmark for benchmark in BENCHMARKS}
    benchmark = by_name.get(arguments[0])
    if benchmark is None:
        print(
            f"python -m benchmarks: no benchmark {arguments[0]!r}; known: {', '.join(by_name)}",
            file=sys.stderr,
        )
        return 2
    module = load(benchmark)
    return module.run(parser_of(benchmark, module).parse_args(arguments[1:]))


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
