"""Report of a soak: a table, and a plot of answers and faults."""

from godwitturn.soak import history as histories

BUCKET_S = 0.5
_WIDTH = 960
_ROW_HEIGHT = 18
_LEFT_MARGIN = 130
_PLOT_HEIGHT = 160
_COLOURS = ("#2a7", "#c33", "#e90")
_LABELS = ("answers", "resets", "given up")


def _buckets(history: histories.History) -> list[tuple[int, int, int]]:
    """Returns counts of answers, resets and what was given up, by bucket."""
    counts = [[0, 0, 0] for _ in range(int(history.seconds / BUCKET_S) + 1)]
    for record in history.records:
        column = {
            histories.Answered: 0,
            histories.ResetSeen: 1,
            histories.GivenUp: 2,
        }.get(type(record))
        if column is not None:
            after_s = max(0.0, record.at - history.began_at)
            row = min(len(counts) - 1, int(after_s / BUCKET_S))
            counts[row][column] += 1
    return [(row[0], row[1], row[2]) for row in counts]


def table(history: histories.History, violations: list[str]) -> str:
    """Returns the counts and the violated guarantees as text."""
    lines = ["    second  answers  resets  given up  faults that began"]
    for number, row in enumerate(_buckets(history)):
        since = history.began_at + number * BUCKET_S
        names = [
            f"{fault.kind.value}({fault.seconds:.1f} s)"
            for fault in history.faults
            if since <= fault.at < since + BUCKET_S
        ]
        lines.append(
            f"{number * BUCKET_S:10.1f} {row[0]:8d} {row[1]:7d} {row[2]:9d}  "
            + " ".join(names)
        )
    lines += [f"violated: {line}" for line in violations]
    lines.append(f"{len(violations)} guarantees violated")
    return "\n".join(lines)


def plot(history: histories.History) -> str:
    """Returns an SVG image: counts over time, and a bar for each fault."""
    scale = (_WIDTH - _LEFT_MARGIN) / history.seconds
    buckets = _buckets(history)
    peak = max(1, *(max(row) for row in buckets))
    parts = []
    for column, (colour, label) in enumerate(
        zip(_COLOURS, _LABELS, strict=True)
    ):
        points = " ".join(
            f"{_LEFT_MARGIN + number * BUCKET_S * scale:.1f},"
            f"{_PLOT_HEIGHT - row[column] / peak * (_PLOT_HEIGHT - 20):.1f}"
            for number, row in enumerate(buckets)
        )
        parts.append(
            f'<polyline fill="none" stroke="{colour}" points="{points}"/>'
            f'<text x="4" y="{20 + 16 * column}" fill="{colour}">'
            f"{label}</text>"
        )
    kinds = sorted({fault.kind.value for fault in history.faults})
    for fault in history.faults:
        y = _PLOT_HEIGHT + 10 + _ROW_HEIGHT * kinds.index(fault.kind.value)
        began = fault.at - history.began_at
        colour = "#89b" if fault.planned else "#b66"
        parts.append(
            f'<rect x="{_LEFT_MARGIN + began * scale:.1f}" y="{y}" '
            f'width="{max(2.0, fault.seconds * scale):.1f}" '
            f'height="{_ROW_HEIGHT - 4}" fill="{colour}"/>'
        )
    parts += [
        f'<text x="4" y="{_PLOT_HEIGHT + 22 + _ROW_HEIGHT * number}">'
        f"{kind}</text>"
        for number, kind in enumerate(kinds)
    ]
    height = _PLOT_HEIGHT + 20 + _ROW_HEIGHT * len(kinds)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{_WIDTH}" '
        f'height="{height}" font-family="sans-serif" font-size="12">'
        + "".join(parts)
        + "</svg>\n"
    )
