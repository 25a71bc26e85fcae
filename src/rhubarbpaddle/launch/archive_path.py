"""Where the module archive is."""

import os.path

import rhubarbpaddle


def get_archive_path() -> str:
    """Returns the path of the archive, which is beside the package's folder."""
    folder = os.path.dirname(os.path.abspath(rhubarbpaddle.__file__))
    return f"{folder}.modules"
