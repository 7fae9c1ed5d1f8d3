"""Counters of this process by request class, exported in the Prometheus text exposition format 0.0.4."""

from collections.abc import Iterable, Mapping
from enum import StrEnum

METRICS_CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
METRIC_PREFIX = "app_"
CLASS_LABEL = "group"


class RequestCounter(StrEnum):
    """Counters by request class; the values are the exported names without their prefix."""

    ANSWERED = "answered_total"
    REJECTED = "deferred_total"
    FAILED = "errored_total"
    RUNS_STARTED = "sends_total"


REQUEST_COUNTER_HELP = {
    RequestCounter.ANSWERED: "Requests served.",
    RequestCounter.REJECTED: "Requests refused, which never ran.",
    RequestCounter.FAILED: "Requests failed.",
    RequestCounter.RUNS_STARTED: "Runs handed to the kernel.",
}


class ReloadCounter(StrEnum):
    """Counters of configuration reloads; the values are the exported names without their prefix."""

    LOADED = "conf_loaded_total"
    INVALID = "conf_invalid_total"


RELOAD_COUNTER_HELP = {
    ReloadCounter.LOADED: "Configurations taken at SIGHUP.",
    ReloadCounter.INVALID: "Configurations turned down at SIGHUP.",
}


def _escaped(label_value: str) -> str:
    return label_value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def format_samples(values: Mapping[str, Iterable[tuple[str, float]]]) -> str:
    """Returns the exposition text of metrics; `values` maps metric names to labels and values of samples.

    Metrics whose name ends in `_total` are exported as counters, all others as gauges.
    """
    lines = []
    for name, samples in values.items():
        lines.append(f"# TYPE {name} {'counter' if name.endswith('_total') else 'gauge'}")
        lines.extend(f"{name}{label} {value}" for label, value in samples)
    return "\n".join(lines) + "\n"


def _family_lines(name: str, kind: str, help_text: str, samples: Iterable[tuple[str, int]]) -> list[str]:
    """Returns the lines of one metric family."""
    full_name = METRIC_PREFIX + name
    lines = [f"# HELP {full_name} {help_text}", f"# TYPE {full_name} {kind}"]
    lines.extend(f"{full_name}{label} {value}" for label, value in samples)
    return lines


class Metrics:
    """Counters since the start of the process. Counters of removed classes stay exported."""

    def __init__(self, class_names: Iterable[str]) -> None:
        self._by_class: dict[RequestCounter, dict[str, int]] = {name: {} for name in RequestCounter}
        self._reloads = dict.fromkeys(ReloadCounter, 0)
        self.add_classes(class_names)

    def add_classes(self, class_names: Iterable[str]) -> None:
        """Adds counters for new classes, starting at 0."""
        for name in class_names:
            for counts in self._by_class.values():
                counts.setdefault(name, 0)

    def count(self, counter: RequestCounter, class_name: str) -> None:
        """Increments the counter for the class."""
        self._by_class[counter][class_name] += 1

    def count_reload(self, counter: ReloadCounter) -> None:
        """Increments the counter of reloads."""
        self._reloads[counter] += 1

    def total(self, counter: RequestCounter) -> int:
        """Returns the count over all classes."""
        return sum(self._by_class[counter].values())

    def by_class(self, counter: RequestCounter) -> Mapping[str, int]:
        """Returns the count of each class."""
        return self._by_class[counter]

    def text(self, open_requests: int) -> str:
        """Returns all counters and the gauge of open requests in the exposition format."""
        lines: list[str] = []
        for counter, help_text in REQUEST_COUNTER_HELP.items():
            samples = (
                (f'{{{CLASS_LABEL}="{_escaped(class_name)}"}}', count)
                for class_name, count in self._by_class[counter].items()
            )
            lines += _family_lines(counter, "counter", help_text, samples)
        lines += _family_lines("current", "gauge", "Requests taken and not yet ended.", [("", open_requests)])
        for reload_counter, help_text in RELOAD_COUNTER_HELP.items():
            lines += _family_lines(
                reload_counter, "counter", help_text, [("", self._reloads[reload_counter])]
            )
        return "\n".join(lines) + "\n"
