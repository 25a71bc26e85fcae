"""Prepares a process for the imports of a node on the platform."""

import gc

from rhubarbpaddle.launch.archive_finder import ArchiveFinder
from rhubarbpaddle.launch.archive_path import get_archive_path
from rhubarbpaddle.launch.module_archive import ModuleArchive


def prepare_import() -> None:
    """Makes the imports that follow cheap until `finish_import`."""
    # Almost nothing that an import creates is garbage; looking for it takes a
    # tenth of the imports' processor time.
    gc.disable()
    archive = ModuleArchive.open(get_archive_path())
    if archive is not None:
        ArchiveFinder(archive).install()


def finish_import() -> None:
    """Turns garbage collection on for what is created from now on."""
    gc.freeze()
    gc.enable()
