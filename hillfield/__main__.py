"""Run the command line as `python -m hillfield`."""

from hillfield.cli.application import run

if __name__ == '__main__':
    run()
