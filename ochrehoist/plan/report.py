"""A page for each answer of the planner: one HTML file with tables and pictures, which needs no network."""

import json
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import jinja2

from ochrehoist.plan import pictures

Table = tuple[str, Sequence[str], Sequence[Sequence[Any]]]  # title, heads, rows

PAGE_TEMPLATE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta name="viewport" content="width=device-width">
<title>{{ title }}</title>
<style>
 body { font: 15px/1.5 system-ui, sans-serif; max-width: 62rem; margin: 2rem auto; padding: 0 1rem;
        color: #1d2126 }
 h1 { font-size: 1.35rem } h2 { font-size: 1.05rem; margin: 2rem 0 .4rem }
 table { border-collapse: collapse; font-variant-numeric: tabular-nums }
 th, td { text-align: left; padding: .2rem .9rem .2rem 0; border-bottom: 1px solid #e3e5e8 }
 .note { color: #5b626b } svg { max-width: 100%; height: auto; margin: 1rem 0 }
 pre { overflow: auto; font-size: 12px }
</style></head><body>
<h1>{{ title }}</h1>
<p class="note">{{ origin }}</p>
{% for line in notes %}<p><strong>{{ line }}</strong></p>{% endfor %}
{% for picture in pictures %}{{ picture | safe }}{% endfor %}
{% for name, heads, rows in tables %}<h2>{{ name }}</h2>
<table><tr>{% for head in heads %}<th>{{ head }}</th>{% endfor %}</tr>
{% for row in rows %}<tr>{% for cell in row %}<td>{{ cell | format_cell }}</td>{% endfor %}</tr>
{% endfor %}</table>{% endfor %}
<details><summary>All figures</summary><pre>{{ values }}</pre></details>
</body></html>
"""


def format_cell(cell: Any) -> str:
    """A cell of a table as people read it: a range with its interval, a number in three digits."""
    if isinstance(cell, dict):
        half = "" if cell["half"] is None else f" ±{cell['half']:.3f}"
        return f"{cell['mean']:.3f}{half}"
    if isinstance(cell, float):
        return f"{cell:.3f}"
    return "-" if cell is None else str(cell)


def page(
    question: str,
    title: str,
    origin: str,
    values: Mapping[str, Any],
    tables: Sequence[Table],
    notes: Sequence[str] = (),
) -> str:
    """The whole page. `origin` says by what command; `notes` what a reader must know first."""
    env = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    env.filters["format_cell"] = format_cell
    svg_bodies = [svg.decode().partition("<svg")[2] for svg in pictures.render(question, values, "svg")]
    return env.from_string(PAGE_TEMPLATE).render(
        title=title,
        origin=origin,
        notes=notes,
        tables=tables,
        pictures=["<svg" + body for body in svg_bodies],
        values=json.dumps(values, indent=1),
    )


def save(path: Path, text: str, question: str, values: Mapping[str, Any], with_pictures: bool) -> list[Path]:
    """Writes the page, and beside it each picture as PNG where they are wanted; returns what was written."""
    path.write_text(text)
    written = [path]
    if with_pictures:
        for number, data in enumerate(pictures.render(question, values, "png"), 1):
            picture_path = path.with_name(f"{path.stem}-{number}.png")
            picture_path.write_bytes(data)
            written.append(picture_path)
    return written
