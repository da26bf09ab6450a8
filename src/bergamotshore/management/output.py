"""Printing of answers and problems."""

import msgspec


def print_json(value):
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(headings, rows):
    """Print rows under headings in aligned columns.

    :param headings: Titles of the columns.
    :param rows: Rows of values, as long as the headings.
    """
    lines = [[str(value) for value in row] for row in [headings, *rows]]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(headings))
    ]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())
