"""What the planner found, drawn: a figure for each question, from the same plain values as its tables.

Matplotlib's, without a display. One scale: goodput runs from 0 to 1 everywhere, so pictures can be laid
side by side. No I/O.
"""

import io
from collections.abc import Callable, Sequence
from typing import Any

from matplotlib import rc_context
from matplotlib.axes import Axes
from matplotlib.figure import Figure
from matplotlib.patches import Patch

Values = dict[str, Any]
MAIN, SECOND, BAD, QUIET = "#2b6cb0", "#c77d0a", "#b03a48", "#8a8f98"
KINDS = (MAIN, SECOND, "#4b8b5a", "#7a5ba6", "#3f8f98")
STYLE = {
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
LINES = (("measured", MAIN), ("forecast", SECOND))
WIDE, TALL = 7.2, 2.7  # inches of one picture
MOST_BARS = 60  # workers drawn one by one; beyond, by kind


def _drawn(title: str, rows: int = 1) -> tuple[Figure, list[Axes]]:
    figure = Figure(figsize=(WIDE, TALL * rows), layout="constrained")
    axes = [figure.add_subplot(rows, 1, n + 1) for n in range(rows)]
    axes[0].set_title(title)
    return figure, axes


def _share(axes: Axes, label: str = "goodput") -> None:
    axes.set_ylim(0, 1.02)
    axes.set_ylabel(label)


def _over_time(
    axes: Axes, lines: Sequence[tuple[str, str, list[list[float]]]], events: Sequence[tuple[float, str]] = ()
) -> None:
    for name, colour, points in lines:
        axes.plot([p[0] for p in points], [p[1] for p in points], color=colour, label=name, lw=1.4)
    for at, text in events:
        axes.axvline(at, color=BAD, lw=1, ls="--")
        axes.annotate(text, (at, 0.04), rotation=90, color=BAD, fontsize=8, ha="right", va="bottom")
    _share(axes)
    axes.set_xlabel("second")
    if len(lines) > 1:
        axes.legend(loc="lower left")


def _by_class(axes: Axes, classes: dict[str, Values]) -> None:
    names = list(classes)
    goodput = [classes[n]["goodput"]["mean"] for n in names]
    half = [classes[n]["goodput"]["half"] or 0.0 for n in names]
    axes.barh(names, goodput, xerr=half, color=MAIN, height=0.6, ecolor=QUIET)
    for n, value in enumerate(goodput):
        axes.annotate(f"{value:.2f}", (0.01, n), color="white", va="center")
    axes.set_xlim(0, 1.02)
    axes.set_xlabel("goodput; the line is the 95% interval over seeds")
    axes.invert_yaxis()


def _workers(axes: Axes, workers: Sequence[Values]) -> None:
    kinds = sorted({w["kind"] for w in workers})
    colours = {k: KINDS[n % len(KINDS)] for n, k in enumerate(kinds)}
    if len(workers) <= MOST_BARS:
        order = sorted(workers, key=lambda w: (w["kind"], -w["busy"]))
        axes.bar(range(len(order)), [w["busy"] for w in order], color=[colours[w["kind"]] for w in order])
        axes.set_xticks(range(len(order)), [w["address"].rsplit(".", 1)[-1] for w in order], fontsize=7)
        axes.set_xlabel("worker, by the last part of its address")
        axes.legend(
            handles=[Patch(color=colours[k], label=k) for k in kinds],
            loc="lower right",
            bbox_to_anchor=(1, 1),
            ncols=len(kinds),
        )
    else:
        axes.boxplot([[w["busy"] for w in workers if w["kind"] == k] for k in kinds], tick_labels=kinds)
        axes.set_xlabel(f"{len(workers)} workers")
    _share(axes, "cores busy")


def of_forecast(v: Values) -> list[Figure]:
    classes, (a,) = _drawn("goodput by class")
    _by_class(a, v["classes"])
    workers, (b,) = _drawn("how busy each worker's cores are (first run)")
    _workers(b, v["workers"])
    time, (c,) = _drawn("goodput by the second in which calls began (first run)")
    _over_time(c, [("goodput", MAIN, v["seconds_line"])], v["events"])
    return [classes, workers, time]


def of_breaks(v: Values) -> list[Figure]:
    figure, (a,) = _drawn("the load raised step by step")
    rates = [s["rate"] for s in v["steps"]]
    goodput = [s["goodput"]["mean"] for s in v["steps"]]
    a.errorbar(
        rates,
        goodput,
        yerr=[s["goodput"]["half"] or 0.0 for s in v["steps"]],
        color=MAIN,
        capsize=3,
        label="goodput",
    )
    a.plot(rates, [s["refused"] for s in v["steps"]], color=SECOND, label="refused, of all calls")
    per_factor = rates[0] / v["steps"][0]["factor"]
    for which in ("first", "next"):
        at = v[which]["factor"] * per_factor
        if at <= rates[-1] * 1.05:
            a.axvline(at, color=BAD, lw=1, ls="--")
            a.annotate(
                f"{which}: {v[which]['limit']} of {v[which]['kind']}",
                (at, 0.04),
                color=BAD,
                fontsize=8,
                rotation=90,
                ha="right",
                va="bottom",
            )
    a.set_xlabel("calls a second")
    a.legend(loc="upper right", bbox_to_anchor=(1, 1.16), ncols=2)
    _share(a, "share")
    return [figure]


def of_size(v: Values) -> list[Figure]:
    figure, (a,) = _drawn(f"machines of {v['kind']}, beside {v['others']} others")
    for tried, colour, label in (
        ("tried", MAIN, "goodput, lower end of the interval"),
        ("tried_one_lost", SECOND, "the same without the strongest machine"),
    ):
        counts = sorted((int(n), g) for n, g in v[tried].items())
        a.plot([n for n, _ in counts], [g for _, g in counts], "o-", color=colour, label=label)
    a.axhline(v["goal"], color=BAD, ls="--", lw=1, label="goal")
    a.axvline(v["needed"], color=QUIET, ls=":", label=f"needed: {v['needed']}")
    a.set_xlabel("machines")
    a.legend(loc="lower right")
    _share(a)
    return [figure]


def of_lose(v: Values) -> list[Figure]:
    figure, (a,) = _drawn(f"{v['site']} lost: {v['workers']} of {v['of']} workers (first run)")
    _over_time(a, [("goodput", MAIN, v["seconds_line"])], v["events"])
    a.axhline(v["before"]["mean"], color=QUIET, lw=1, ls=":")
    return [figure]


def of_compare(v: Values) -> list[Figure]:
    figure, (a,) = _drawn("the same draws on both")
    for first, second in v["pairs"]:
        a.plot((0, 1), (first, second), "o-", color=QUIET, lw=0.8)
    a.errorbar(
        (0, 1),
        (v["a"]["mean"], v["b"]["mean"]),
        yerr=[v[k]["half"] or 0.0 for k in "ab"],
        color=MAIN,
        capsize=4,
        lw=2,
    )
    a.set_xticks((0, 1), ("A", "B"))
    a.set_xlim(-0.4, 1.4)
    _share(a)
    return [figure]


def of_captures(v: Values) -> list[Figure]:
    figure, (a,) = _drawn("what changed from A to B, in parts of A")
    lines = [line for line in v["figures"] if line["change"] is not None]
    for n, line in enumerate(lines):
        colour = BAD if line["clear"] else QUIET
        a.plot((line["low"], line["high"]), (n, n), color=colour, lw=2)
        a.plot(line["change"], n, "o", color=colour)
    a.set_yticks(range(len(lines)), [line["what"] for line in lines], fontsize=7)
    a.axvline(0.0, color=QUIET, lw=1)
    a.set_xlabel("change; 95% interval; red where it is not chance")
    a.invert_yaxis()
    figure.set_size_inches(WIDE, max(TALL, 0.24 * len(lines) + 0.8))
    return [figure]


def of_measure(v: Values) -> list[Figure]:
    time, (a,) = _drawn("real workers beside the forecast of the same draw")
    _over_time(a, [(which, colour, v[which]["seconds"]) for which, colour in LINES], v["measured"]["events"])
    bars, (b,) = _drawn("goodput by class")
    names = list(v["measured"]["classes"])
    for shift, (which, colour) in zip((-0.2, 0.2), LINES, strict=True):
        b.barh(
            [n + shift for n in range(len(names))],
            [v[which]["classes"][n]["goodput"] for n in names],
            height=0.36,
            color=colour,
            label=which,
        )
    b.set_yticks(range(len(names)), names)
    b.set_xlim(0, 1.02)
    b.legend(loc="lower left")
    return [time, bars]


def of_fit(v: Values) -> list[Figure]:
    known = [e for e in v["estimates"] if e["value"] and e["low"] is not None]
    if not known:
        return []
    figure, (a,) = _drawn("how well each is known: its 95% interval, in parts of its value")
    for n, e in enumerate(known):
        a.plot((e["low"] / e["value"], e["high"] / e["value"]), (n, n), color=MAIN, lw=2)
    a.plot([1] * len(known), range(len(known)), "o", color=MAIN)
    a.set_yticks(range(len(known)), [e["what"] for e in known], fontsize=7)
    a.invert_yaxis()
    figure.set_size_inches(WIDE, max(TALL, 0.24 * len(known) + 0.8))
    return [figure]


def of_play(v: Values) -> list[Figure]:
    figure, (a,) = _drawn("worth gained, by second of the call's begin")
    _over_time(a, [(v["scenario"], MAIN, v["seconds"])], v["events"])
    return [figure]


def of_scale(v: Values) -> list[Figure]:
    figures = []
    for plot in v["plots"]:
        if len({x for x, _ in plot["points"]}) < 2:
            continue
        figure, (a,) = _drawn(f"{plot['name']}, by members")
        a.plot([x for x, _ in plot["points"]], [y for _, y in plot["points"]], "o", color=MAIN)
        if plot["fit"] is not None:
            ends = [plot["fit"]["from"], plot["fit"]["to"]]
            a.plot(
                ends,
                [plot["fit"]["at_none"] + plot["fit"]["per_member"] * x for x in ends],
                color=QUIET,
                lw=1,
                ls="--",
                label="least squares",
            )
            a.legend(loc="upper left")
        a.set_ylabel(plot["unit"])
        a.set_ylim(bottom=0)
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


def drawn(question: str, values: Values, form: str) -> list[bytes]:
    """The pictures of one answer, as `svg` or `png`; the same values give the same bytes."""
    with rc_context(STYLE):
        return [_bytes(figure, form) for figure in PICTURES[question](values)]


def _bytes(figure: Figure, form: str) -> bytes:
    out = io.BytesIO()
    figure.savefig(out, format=form, dpi=110, metadata={"Date" if form == "svg" else "Software": None})
    return out.getvalue()
