"""Run the program as ``python -m coursekeel``."""

from coursekeel.cli import main

if __name__ == "__main__":
    main()
