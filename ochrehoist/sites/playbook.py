"""The playbook: what holds when a site is lost, worked out before the day. Read and checked here. No I/O.

It is plain TOML, made by `ochrehoist plan lose SITE --write FILE`, that a person reads and may change.
"""

import tomllib
from collections.abc import Collection, Mapping
from hashlib import blake2b

import msgspec

from ochrehoist.errors import OchrehoistError
from ochrehoist.sites.order import part_of

VERSION = 1
SLACK = 0.02  # by which the parts let in may be over what the others carry: they are told to two digits


class PlaybookError(OchrehoistError):
    """It can't be used; a line for each fault, each with its key."""


class LetIn(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of one class, while the site is gone: what part of it is let in, within tenants' shares and beyond."""

    cls: str = msgspec.field(name="class")
    share: float
    beyond: float
    work: float  # its share of all work


class Loss(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    site: str
    carry: float  # the part of all work that the others can take
    binds: str  # what binds them: cores, memory, connections
    stay_away_ms: float  # that those turned away are told, at least
    spread_ms: float  # and up to so much more
    steps: list[float]  # of its usual load, on the return
    longest_s: float  # for which a return may take steps
    let_in: list[LetIn]


class Playbook(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    version: int
    made: int  # Unix s: the younger of two counts
    fleet: str
    workers: dict[str, list[str]]  # addresses by site
    beyond: float  # the share of all work that tenants send beyond their shares
    loss: list[Loss]
    unknown: list[str] = []  # what it can't know, said to whoever reads it

    def of(self, site: str) -> Loss | None:
        return next((x for x in self.loss if x.site == site), None)

    @property
    def digest(self) -> str:
        return blake2b(msgspec.msgpack.encode(self), digest_size=6).hexdigest()


def _faults(book: Playbook, classes: Collection[str] | None) -> list[str]:
    out = []
    if book.version != VERSION:
        out.append(
            f"version: {book.version}, and this program reads {VERSION}: write it anew with `plan lose`"
        )
    for site, addresses in book.workers.items():
        if not addresses:
            out.append(f"workers.{site}: none")
    seen: set[str] = set()
    for at, loss in enumerate(book.loss):
        key = f"loss[{at}]"
        if loss.site not in book.workers:
            out.append(f"{key}.site: no site {loss.site!r} in workers; there are {sorted(book.workers)}")
        if loss.site in seen:
            out.append(f"{key}.site: {loss.site!r} comes twice")
        seen.add(loss.site)
        if not 0 < loss.carry <= 1:
            out.append(f"{key}.carry: not above 0 and at most 1: {loss.carry}")
        if loss.stay_away_ms < 0 or loss.spread_ms <= 0:
            out.append(f"{key}.spread_ms: callers told one time come back at one moment: {loss.spread_ms}")
        if (
            not loss.steps
            or any(b <= a for a, b in zip([0.0, *loss.steps], loss.steps, strict=False))
            or loss.steps[-1] != 1
        ):
            out.append(f"{key}.steps: do not rise from above 0 to 1: {loss.steps}")
        if not 0 < loss.longest_s < 86_400:
            out.append(f"{key}.longest_s: a return without an end: {loss.longest_s}")
        out += _let_in_faults(key, loss, book.beyond, classes)
    return out


def _let_in_faults(key: str, loss: Loss, beyond: float, classes: Collection[str] | None) -> list[str]:
    out, work = [], 0.0
    for n, x in enumerate(loss.let_in):
        if classes is not None and x.cls not in classes:
            out.append(f"{key}.let_in[{n}].class: no class {x.cls!r}; there are {sorted(classes)}")
        for name in ("share", "beyond", "work"):
            if not 0 <= getattr(x, name) <= 1:
                out.append(f"{key}.let_in[{n}].{name}: not from 0 to 1: {getattr(x, name)}")
        if x.beyond > x.share:
            out.append(f"{key}.let_in[{n}].beyond: more than within the shares: {x.beyond} of {x.share}")
        work += x.work * ((1 - beyond) * x.share + beyond * x.beyond)
    if len({x.cls for x in loss.let_in}) < len(loss.let_in):
        out.append(f"{key}.let_in: a class comes twice")
    if work > loss.carry + SLACK:
        out.append(f"{key}.let_in: {work:.2f} of all work is let in, and the others carry {loss.carry:.2f}")
    return out


def parse(text: str, classes: Collection[str] | None = None) -> Playbook:
    """Raises PlaybookError. `classes`: those that a worker knows, where it is one that reads."""
    try:
        book = msgspec.convert(tomllib.loads(text), Playbook, strict=True)
    except tomllib.TOMLDecodeError as error:
        raise PlaybookError(str(error)) from None
    except msgspec.ValidationError as error:
        what, _, where = str(error).partition(" - at ")
        key = where.strip("`").removeprefix("$").removeprefix(".")
        raise PlaybookError(f"{key}: {what}" if key else what) from None
    faults = _faults(book, classes)
    if faults:
        raise PlaybookError("\n".join(faults))
    return book


def packed(book: Playbook) -> bytes:
    return msgspec.msgpack.encode(book)


def unpacked(data: bytes, classes: Collection[str]) -> Playbook | None:
    """One that another worker has; None where it can't be used here."""
    try:
        book = msgspec.msgpack.decode(data, type=Playbook)
    except msgspec.DecodeError:
        return None
    return None if _faults(book, classes) else book


def lets_in(loss: Loss, cls: str, beyond: bool, ident: tuple) -> bool:
    """By the same hash as the order, so that all workers let in the same."""
    x = next((x for x in loss.let_in if x.cls == cls), None)
    if x is None:
        return True
    return part_of(*ident) < (x.beyond if beyond else x.share)


def text_of(book: Playbook, about: Mapping[str, str]) -> str:
    """As TOML, with a word on each key."""
    out = [f"# {line}" for line in about.get("", "").splitlines()]
    out += [
        f"version = {book.version}",
        f"made = {book.made}   # Unix s; the younger of two counts",
        f'fleet = "{book.fleet}"',
        f"beyond = {book.beyond:.3f}   # of all work, beyond tenants' shares",
        "unknown = [",
        *(f'    "{text}",' for text in book.unknown),
        "]",
        "",
        "[workers]",
    ]
    out += [f"{site} = {msgspec.json.encode(addresses).decode()}" for site, addresses in book.workers.items()]
    for loss in book.loss:
        out += [
            "",
            "[[loss]]",
            f'site = "{loss.site}"',
            f"carry = {loss.carry:.3f}   # of all work, that the others can take",
            f'binds = "{loss.binds}"   # what binds them first',
            f"stay_away_ms = {loss.stay_away_ms:g}   # that callers turned away are told, and up to",
            f"spread_ms = {loss.spread_ms:g}   # more, so that they don't meet again",
            f"steps = {list(loss.steps)}   # of its usual load, on the return",
            f"longest_s = {loss.longest_s:g}   # of the return; then all of its load, whatever was measured",
        ]
        for x in loss.let_in:
            out += [
                "",
                "[[loss.let_in]]",
                f'class = "{x.cls}"',
                f"share = {x.share:.2f}   # let in",
                f"beyond = {x.beyond:.2f}   # of what tenants send beyond their shares",
                f"work = {x.work:.3f}   # its share of all work",
            ]
        note = about.get(loss.site)
        if note:
            out += ["", *(f"# {line}" for line in note.splitlines())]
    return "\n".join(out) + "\n"
