#!/usr/bin/env python3
"""Plots goodput relative to the ideal, and wasted prefill, against load from `bench-goodput --csv` as one SVG file."""
import csv
import sys

WIDTH, HEIGHT, MARGIN = 420, 260, 48
COLOURS = ["#888888", "#b5895b", "#7a5195", "#9ecae1", "#1f77b4", "#2ca02c", "#d62728"]


def panel(rows, field, title, top, left, bottom_value, top_value):
    loads = sorted({float(row["load"]) for row in rows})
    names = list(dict.fromkeys(row["policy"] for row in rows))

    def x(load):
        return left + MARGIN + (load - loads[0]) / (loads[-1] - loads[0]) * (WIDTH - 2 * MARGIN)

    def y(value):
        share = (value - bottom_value) / (top_value - bottom_value)
        return top + HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN)

    parts = [f'<text x="{left + MARGIN}" y="{top + 24}" font-size="13">{title}</text>']
    for step in range(5):
        value = bottom_value + (top_value - bottom_value) * step / 4
        parts.append(f'<line x1="{x(loads[0])}" x2="{x(loads[-1])}" y1="{y(value)}" y2="{y(value)}" stroke="#ddd"/>')
        parts.append(f'<text x="{left + 8}" y="{y(value) + 4}" font-size="10">{value:.2f}</text>')
    for load in loads:
        parts.append(f'<text x="{x(load) - 8}" y="{top + HEIGHT - MARGIN + 16}" font-size="10">{load:g}</text>')
    for colour, name in zip(COLOURS, names):
        line = sorted((float(row["load"]), float(row[field])) for row in rows if row["policy"] == name)
        points = " ".join(f"{x(load):.1f},{y(min(max(value, bottom_value), top_value)):.1f}" for load, value in line)
        parts.append(f'<polyline points="{points}" fill="none" stroke="{colour}" stroke-width="2"/>')
    return parts


def legend(names, top):
    parts = []
    for index, (colour, name) in enumerate(zip(COLOURS, names)):
        left = 20 + index * 118
        parts.append(f'<rect x="{left}" y="{top}" width="14" height="4" fill="{colour}"/>')
        parts.append(f'<text x="{left + 18}" y="{top + 6}" font-size="11">{name}</text>')
    return parts


def main():
    if len(sys.argv) != 3:
        sys.exit("usage: plot_goodput.py FILE.csv OUT.svg")
    with open(sys.argv[1], newline="") as file:
        rows = list(csv.DictReader(file))
    workloads = list(dict.fromkeys(row["workload"] for row in rows))
    parts = []
    for index, workload in enumerate(workloads):
        own = [row for row in rows if row["workload"] == workload]
        parts += panel(own, "of_ideal", f"{workload}: goodput, share of ideal, by load", index * HEIGHT, 0, 0.8, 1.04)
        parts += panel(own, "wasted", f"{workload}: wasted prefill, by load", index * HEIGHT, WIDTH, 0.0, 0.4)
    height = len(workloads) * HEIGHT + 24
    parts += legend(list(dict.fromkeys(row["policy"] for row in rows)), height - 14)
    head = f'<svg xmlns="http://www.w3.org/2000/svg" width="{2 * WIDTH}" height="{height}" font-family="sans-serif">'
    with open(sys.argv[2], "w") as file:
        file.write("\n".join([head, '<rect width="100%" height="100%" fill="white"/>', *parts, "</svg>"]) + "\n")


if __name__ == "__main__":
    main()
