"""The planner's answers as pictures: a figure for each question, from the same plain values as its tables.

Matplotlib's, without a display. One scale: goodput runs from 0 to 1 everywhere, so pictures can be laid
side by side. No I/O.
"""

import io
from collections.abc import Callable, Mapping, Sequence
from typing import Any, cast

from matplotlib import rc_context
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.patches import Patch

Values = Mapping[str, Any]  # of an answer
MAIN_COLOUR = "#2b6cb0"
SECOND_COLOUR = "#c77d0a"
BAD_COLOUR = "#b03a48"
QUIET_COLOUR = "#8a8f98"
KIND_COLOURS = (MAIN_COLOUR, SECOND_COLOUR, "#4b8b5a", "#7a5ba6", "#3f8f98")
STYLE: dict[str, Any] = {
    "axes.spines.top": False,
    "axes.spines.right": False,
    "axes.grid": True,
    "grid.color": "#e3e5e8",
    "axes.axisbelow": True,
    "font.size": 9.0,
    "axes.titlesize": 10.0,
    "axes.titlelocation": "left",
    "svg.hashsalt": "ochrehoist",
    "svg.fonttype": "none",
    "legend.frameon": False,
}
LINES = (("measured", MAIN_COLOUR), ("forecast", SECOND_COLOUR))
WIDTH_INCHES = 7.2  # of one picture
HEIGHT_INCHES = 2.7
LINE_HEIGHT_INCHES = 0.24  # of a picture with a line for each figure
MARGIN_INCHES = 0.8
MAX_BARS = 60  # workers drawn one by one; beyond, by kind


def _new_figure(title: str, rows: int = 1) -> tuple[Figure, list[Axes]]:
    figure = Figure(figsize=(WIDTH_INCHES, HEIGHT_INCHES * rows), layout="constrained")
    axes = [figure.add_subplot(rows, 1, index + 1) for index in range(rows)]
    axes[0].set_title(title)
    return figure, axes


def _fit_height(figure: Figure, lines: int) -> None:
    """A picture with a line for each of so many figures."""
    figure.set_size_inches(WIDTH_INCHES, max(HEIGHT_INCHES, LINE_HEIGHT_INCHES * lines + MARGIN_INCHES))


def _scale_share(axes: Axes, label: str = "goodput") -> None:
    axes.set_ylim(0, 1.02)
    axes.set_ylabel(label)


def _over_time(
    axes: Axes, lines: Sequence[tuple[str, str, list[list[float]]]], events: Sequence[tuple[float, str]] = ()
) -> None:
    for name, colour, points in lines:
        axes.plot(
            [point[0] for point in points], [point[1] for point in points], color=colour, label=name, lw=1.4
        )
    for at, text in events:
        axes.axvline(at, color=BAD_COLOUR, lw=1, ls="--")
        axes.annotate(text, (at, 0.04), rotation=90, color=BAD_COLOUR, fontsize=8, ha="right", va="bottom")
    _scale_share(axes)
    axes.set_xlabel("second")
    if len(lines) > 1:
        axes.legend(loc="lower left")


def _by_class(axes: Axes, classes: dict[str, Values]) -> None:
    names = list(classes)
    goodput = [classes[name]["goodput"]["mean"] for name in names]
    half = [classes[name]["goodput"]["half"] or 0.0 for name in names]
    axes.barh(names, goodput, xerr=half, color=MAIN_COLOUR, height=0.6, ecolor=QUIET_COLOUR)
    for index, value in enumerate(goodput):
        axes.annotate(f"{value:.2f}", (0.01, index), color="white", va="center")
    axes.set_xlim(0, 1.02)
    axes.set_xlabel("goodput; the line is the 95% interval over seeds")
    axes.invert_yaxis()


def _workers(axes: Axes, workers: Sequence[Values]) -> None:
    kinds = sorted({worker["kind"] for worker in workers})
    colours = {kind: KIND_COLOURS[index % len(KIND_COLOURS)] for index, kind in enumerate(kinds)}
    if len(workers) <= MAX_BARS:
        order = sorted(workers, key=lambda worker: (worker["kind"], -worker["busy"]))
        axes.bar(
            range(len(order)),
            [worker["busy"] for worker in order],
            color=[colours[worker["kind"]] for worker in order],
        )
        axes.set_xticks(
            range(len(order)), [worker["address"].rsplit(".", 1)[-1] for worker in order], fontsize=7
        )
        axes.set_xlabel("worker, by the last part of its address")
        axes.legend(
            handles=[Patch(color=colours[kind], label=kind) for kind in kinds],
            loc="lower right",
            bbox_to_anchor=(1, 1),
            ncols=len(kinds),
        )
    else:
        axes.boxplot(
            [[worker["busy"] for worker in workers if worker["kind"] == kind] for kind in kinds],
            tick_labels=kinds,
        )
        axes.set_xlabel(f"{len(workers)} workers")
    _scale_share(axes, "cores busy")


def of_forecast(answer: Values) -> list[Figure]:
    """Goodput by class, how busy workers are, and goodput over time."""
    classes, (axes,) = _new_figure("goodput by class")
    _by_class(axes, answer["classes"])
    workers, (bar_axes,) = _new_figure("how busy each worker's cores are (first run)")
    _workers(bar_axes, answer["workers"])
    time, (time_axes,) = _new_figure("goodput by the second in which calls began (first run)")
    _over_time(time_axes, [("goodput", MAIN_COLOUR, answer["seconds_line"])], answer["events"])
    return [classes, workers, time]


def of_breaks(answer: Values) -> list[Figure]:
    """Goodput and rejections as the load is raised, and where limits are reached."""
    figure, (axes,) = _new_figure("the load raised step by step")
    rates = [step["rate"] for step in answer["steps"]]
    goodput = [step["goodput"]["mean"] for step in answer["steps"]]
    axes.errorbar(
        rates,
        goodput,
        yerr=[step["goodput"]["half"] or 0.0 for step in answer["steps"]],
        color=MAIN_COLOUR,
        capsize=3,
        label="goodput",
    )
    axes.plot(
        rates,
        [step["refused"] for step in answer["steps"]],
        color=SECOND_COLOUR,
        label="refused, of all calls",
    )
    per_factor = rates[0] / answer["steps"][0]["factor"]
    for which in ("first", "next"):
        at = answer[which]["factor"] * per_factor
        if at <= rates[-1] * 1.05:
            axes.axvline(at, color=BAD_COLOUR, lw=1, ls="--")
            axes.annotate(
                f"{which}: {answer[which]['limit']} of {answer[which]['kind']}",
                (at, 0.04),
                color=BAD_COLOUR,
                fontsize=8,
                rotation=90,
                ha="right",
                va="bottom",
            )
    axes.set_xlabel("calls a second")
    axes.legend(loc="upper right", bbox_to_anchor=(1, 1.16), ncols=2)
    _scale_share(axes, "share")
    return [figure]


def of_size(answer: Values) -> list[Figure]:
    """Goodput by the number of machines."""
    figure, (axes,) = _new_figure(f"machines of {answer['kind']}, beside {answer['others']} others")
    for tried, colour, label in (
        ("tried", MAIN_COLOUR, "goodput, lower end of the interval"),
        ("tried_one_lost", SECOND_COLOUR, "the same without the strongest machine"),
    ):
        counts = sorted((int(count), goodput) for count, goodput in answer[tried].items())
        axes.plot(
            [count for count, _ in counts],
            [goodput for _, goodput in counts],
            "o-",
            color=colour,
            label=label,
        )
    axes.axhline(answer["goal"], color=BAD_COLOUR, ls="--", lw=1, label="goal")
    axes.axvline(answer["needed"], color=QUIET_COLOUR, ls=":", label=f"needed: {answer['needed']}")
    axes.set_xlabel("machines")
    axes.legend(loc="lower right")
    _scale_share(axes)
    return [figure]


def of_lose(answer: Values) -> list[Figure]:
    """Goodput over time, around the loss."""
    figure, (axes,) = _new_figure(
        f"{answer['site']} lost: {answer['workers']} of {answer['of']} workers (first run)"
    )
    _over_time(axes, [("goodput", MAIN_COLOUR, answer["seconds_line"])], answer["events"])
    axes.axhline(answer["before"]["mean"], color=QUIET_COLOUR, lw=1, ls=":")
    return [figure]


def of_compare(answer: Values) -> list[Figure]:
    """Goodput of both fleets, pair by pair."""
    figure, (axes,) = _new_figure("the same draws on both")
    for first, second in answer["pairs"]:
        axes.plot((0, 1), (first, second), "o-", color=QUIET_COLOUR, lw=0.8)
    axes.errorbar(
        (0, 1),
        (answer["a"]["mean"], answer["b"]["mean"]),
        yerr=[answer[side]["half"] or 0.0 for side in "ab"],
        color=MAIN_COLOUR,
        capsize=4,
        lw=2,
    )
    axes.set_xticks((0, 1), ("A", "B"))
    axes.set_xlim(-0.4, 1.4)
    _scale_share(axes)
    return [figure]


def of_captures(answer: Values) -> list[Figure]:
    """The changes of all figures, with their intervals."""
    figure, (axes,) = _new_figure("what changed from A to B, in parts of A")
    lines = [line for line in answer["figures"] if line["change"] is not None]
    for index, line in enumerate(lines):
        colour = BAD_COLOUR if line["clear"] else QUIET_COLOUR
        axes.plot((line["low"], line["high"]), (index, index), color=colour, lw=2)
        axes.plot(line["change"], index, "o", color=colour)
    axes.set_yticks(range(len(lines)), [line["what"] for line in lines], fontsize=7)
    axes.axvline(0.0, color=QUIET_COLOUR, lw=1)
    axes.set_xlabel("change; 95% interval; red where it is not chance")
    axes.invert_yaxis()
    _fit_height(figure, len(lines))
    return [figure]


def of_measure(answer: Values) -> list[Figure]:
    """Goodput over time and by class, measured and forecast."""
    time, (axes,) = _new_figure("real workers beside the forecast of the same draw")
    _over_time(
        axes,
        [(which, colour, answer[which]["seconds"]) for which, colour in LINES],
        answer["measured"]["events"],
    )
    bars, (bar_axes,) = _new_figure("goodput by class")
    names = list(answer["measured"]["classes"])
    for shift, (which, colour) in zip((-0.2, 0.2), LINES, strict=True):
        bar_axes.barh(
            [index + shift for index in range(len(names))],
            [answer[which]["classes"][name]["goodput"] for name in names],
            height=0.36,
            color=colour,
            label=which,
        )
    bar_axes.set_yticks(range(len(names)), names)
    bar_axes.set_xlim(0, 1.02)
    bar_axes.legend(loc="lower left")
    return [time, bars]


def of_fit(answer: Values) -> list[Figure]:
    """The intervals of all estimates, in parts of their values."""
    known = [
        estimate for estimate in answer["estimates"] if estimate["value"] and estimate["low"] is not None
    ]
    if not known:
        return []
    figure, (axes,) = _new_figure("how well each is known: its 95% interval, in parts of its value")
    for index, estimate in enumerate(known):
        axes.plot(
            (estimate["low"] / estimate["value"], estimate["high"] / estimate["value"]),
            (index, index),
            color=MAIN_COLOUR,
            lw=2,
        )
    axes.plot([1] * len(known), range(len(known)), "o", color=MAIN_COLOUR)
    axes.set_yticks(range(len(known)), [estimate["what"] for estimate in known], fontsize=7)
    axes.invert_yaxis()
    _fit_height(figure, len(known))
    return [figure]


def of_play(answer: Values) -> list[Figure]:
    """Goodput over time, in a run of the laboratory."""
    figure, (axes,) = _new_figure("worth gained, by second of the call's begin")
    _over_time(axes, [(answer["scenario"], MAIN_COLOUR, answer["seconds"])], answer["events"])
    return [figure]


def of_scale(answer: Values) -> list[Figure]:
    """Costs by the number of members, with their least squares."""
    figures = []
    for plot in answer["plots"]:
        if len({x for x, _ in plot["points"]}) < 2:
            continue
        figure, (axes,) = _new_figure(f"{plot['name']}, by members")
        axes.plot([x for x, _ in plot["points"]], [y for _, y in plot["points"]], "o", color=MAIN_COLOUR)
        if plot["fit"] is not None:
            ends = [plot["fit"]["from"], plot["fit"]["to"]]
            axes.plot(
                ends,
                [plot["fit"]["at_none"] + plot["fit"]["per_member"] * x for x in ends],
                color=QUIET_COLOUR,
                lw=1,
                ls="--",
                label="least squares",
            )
            axes.legend(loc="upper left")
        axes.set_ylabel(plot["unit"])
        axes.set_ylim(bottom=0)
        figures.append(figure)
    return figures


PICTURES: dict[str, Callable[[Values], list[Figure]]] = {
    "forecast": of_forecast,
    "breaks": of_breaks,
    "size": of_size,
    "lose": of_lose,
    "compare": of_compare,
    "captures": of_captures,
    "measure": of_measure,
    "fit": of_fit,
    "play": of_play,
    "scale": of_scale,
}


def render(question: str, values: Values, form: str) -> list[bytes]:
    """The pictures of one answer, as `svg` or `png`; the same values give the same bytes."""
    with rc_context(cast(Any, STYLE)):  # its parameter names every key that there is
        return [_render_figure(figure, form) for figure in PICTURES[question](values)]


def _render_figure(figure: Figure, form: str) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format=form, dpi=110, metadata={"Date" if form == "svg" else "Software": None})
    return out.getvalue()
