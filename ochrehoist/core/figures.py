"""What this process has done, counted by class name, and its text for those who collect figures.

The text is the exposition format 0.0.4 of Prometheus.
"""

from collections.abc import Iterable, Mapping

CONTENT_TYPE = "text/plain; version=0.0.4; charset=utf-8"
PREFIX, LABEL = "app_", "group"
BY_CLASS = {
    "answered_total": "Requests served.",
    "deferred_total": "Requests refused, which never ran.",
    "errored_total": "Requests failed.",
    "sends_total": "Runs handed to the kernel.",
}
SINGLE = {
    "conf_loaded_total": "Configurations taken at SIGHUP.",
    "conf_invalid_total": "Configurations turned down at SIGHUP.",
}


def _escaped(value: str) -> str:
    return value.replace("\\", r"\\").replace('"', r"\"").replace("\n", r"\n")


def counted(values: Mapping[str, Iterable[tuple[str, float]]]) -> str:
    """Lines of further figures: samples by name, each with its labels; totals are counters."""
    lines = []
    for name, samples in values.items():
        lines.append(f"# TYPE {name} {'counter' if name.endswith('_total') else 'gauge'}")
        lines.extend(f"{name}{label} {value}" for label, value in samples)
    return "\n".join(lines) + "\n"


class Figures:
    """Counters from 0 at the start of the process. A class that was known stays listed: no counter goes."""

    def __init__(self, classes: Iterable[str]) -> None:
        self.by_class: dict[str, dict[str, int]] = {name: {} for name in BY_CLASS}
        self.single = dict.fromkeys(SINGLE, 0)
        self.know(classes)

    def know(self, classes: Iterable[str]) -> None:
        for name in classes:
            for counts in self.by_class.values():
                counts.setdefault(name, 0)

    def count(self, figure: str, group: str) -> None:
        self.by_class[figure][group] += 1

    def total(self, figure: str) -> int:
        return sum(self.by_class[figure].values())

    def text(self, current: int) -> str:
        lines = []

        def family(name: str, kind: str, about: str, samples: Iterable[tuple[str, int]]) -> None:
            lines.append(f"# HELP {PREFIX}{name} {about}")
            lines.append(f"# TYPE {PREFIX}{name} {kind}")
            lines.extend(f"{PREFIX}{name}{label} {value}" for label, value in samples)

        for name, about in BY_CLASS.items():
            family(
                name,
                "counter",
                about,
                ((f'{{{LABEL}="{_escaped(group)}"}}', n) for group, n in self.by_class[name].items()),
            )
        family("current", "gauge", "Requests taken and not yet ended.", [("", current)])
        for name, about in SINGLE.items():
            family(name, "counter", about, [("", self.single[name])])
        return "\n".join(lines) + "\n"
