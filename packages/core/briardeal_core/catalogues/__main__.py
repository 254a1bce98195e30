"""Writes the catalogue pages into a folder."""

from __future__ import annotations

from pathlib import Path

import click

from briardeal_core.catalogues import PAGES


@click.command()
@click.argument("folder", type=click.Path(file_okay=False, exists=True, path_type=Path))
def main(folder: Path) -> None:
    """Write all pages into FOLDER."""
    for name, render in PAGES.items():
        (folder / name).write_text(render())


if __name__ == "__main__":
    main()
