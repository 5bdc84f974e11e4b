"""Entry point of `python -m godwitturn`."""

from godwitturn.cli import main

if __name__ == "__main__":
    main.main()
