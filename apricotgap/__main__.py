"""Entry point of ``python -m apricotgap``."""

from apricotgap.cli import main

__all__: list[str] = []

if __name__ == "__main__":
    main(prog_name="apricotgap")
