"""`berylquay`: the operators' command-line tool, a client of the operators' RPCs."""

import argparse


def main() -> None:
    """Parses the command line and runs the command."""
    parser = argparse.ArgumentParser(prog="berylquay", description="Operates berylquay.")
    parser.parse_args()


if __name__ == "__main__":
    main()
