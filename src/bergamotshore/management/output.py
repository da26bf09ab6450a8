"""Output of JSON and tables."""

import msgspec


def print_json(value):
    """Print a value as indented JSON."""
    print(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def print_table(headers, rows):
    """Print rows as a table with aligned columns.

    :param headers: Column headers.
    :param rows: Rows with one value for each column.
    """
    lines = [[str(value) for value in row] for row in [headers, *rows]]
    widths = [
        max(len(line[column]) for line in lines) for column in range(len(headers))
    ]
    for line in lines:
        cells = [cell.ljust(width) for cell, width in zip(line, widths, strict=True)]
        print("  ".join(cells).rstrip())
