"""Collects the modules that go into the executable."""

import ast
import importlib.metadata
import marshal
import re
import subprocess
import sysconfig
import zipfile
from collections.abc import Iterator
from importlib.util import MAGIC_NUMBER, source_hash
from pathlib import Path

from binary.bootstrap_archive import (
    EXTENSIONS_FOLDER,
    EXTENSIONS_INDEX,
    LIBRARIES_FOLDER,
)
from binary.docstrings import DocstringShortener, keeps_docstrings

_PRODUCT = "rhubarbpaddle"
# Folders of the standard library that the product does not import.
_OMITTED_FOLDERS = frozenset(
    {
        "__pycache__", "config-3.11-x86_64-linux-gnu", "ctypes/test",
        "curses", "dbm", "distutils", "ensurepip", "idlelib", "lib-dynload",
        "lib2to3", "pydoc_data", "site-packages", "sqlite3", "test",
        "tkinter", "turtledemo", "unittest/test", "venv",
    }
)  # fmt: skip
_OMITTED_EXTENSIONS = re.compile(
    r"_test|_xx|xx|_ctypes_test|_tkinter|_curses|_dbm|_gdbm|_sqlite3|readline"
    r"|nis|ossaudiodev|spwd|_crypt|audioop"
)
# The C library's own files are on every host.
_SYSTEM_LIBRARIES = re.compile(
    r"lib(c|m|dl|pthread|rt|util|gcc_s)\.so|ld-linux|linux-vdso"
)
_LIBRARY_LINE = re.compile(r"\s*(\S+) => (/\S+)")
# The flags mark a hash-based file that is not checked against its source.
_UNCHECKED_HEADER = MAGIC_NUMBER + (1).to_bytes(4, "little")
_MODULE_SUFFIX = re.compile(r"(\.cpython-[^.]+|\.abi3)?\.so$")


class Archive:
    """An uncompressed zip file that the interpreter can import from."""

    def __init__(self, path: Path) -> None:
        # Importing from a compressed file needs zlib, which is itself an
        # extension module in the archive.
        self._zip = zipfile.ZipFile(path, "w", zipfile.ZIP_STORED)
        self._extensions: dict[str, dict[str, Path]] = {}
        self._libraries: dict[str, Path] = {}
        self._folders: set[Path] = set()

    def add_all(self) -> None:
        """Adds the product, its dependencies and the standard library."""
        source = Path(__file__).parent / "bootstrap_archive.py"
        self._add_module(source, Path("_bootstrap_archive.py"))
        self._add_standard_library()
        for name in sorted(_iter_requirements(_PRODUCT)):
            self._add_distribution(name)
        product = Path(__file__).parents[1] / "src" / _PRODUCT
        for path in sorted(product.rglob("*.py")):
            self._add_module(path, path.relative_to(product.parent))
        self._add_indexes()
        self._zip.close()

    def _add_standard_library(self) -> None:
        root = Path(sysconfig.get_path("stdlib"))
        for path in sorted(root.rglob("*.py")):
            relative = path.relative_to(root)
            if not _is_omitted(relative):
                self._add_module(path, relative)
        for path in sorted((root / "lib-dynload").glob("*.so")):
            if not _OMITTED_EXTENSIONS.match(path.name):
                self._add_extension(path, Path(path.name))

    def _add_distribution(self, name: str) -> None:
        distribution = importlib.metadata.distribution(name)
        for file in distribution.files or ():
            path = Path(str(distribution.locate_file(file)))
            relative = Path(str(file))
            if ".." in relative.parts or "tests" in relative.parts:
                continue
            if path.suffix == ".py":
                self._add_module(path, relative)
            elif path.suffix == ".so":
                self._add_extension(path, relative)
            elif path.name in ("METADATA", "entry_points.txt"):
                self._zip.write(path, str(relative))

    def _add_module(self, path: Path, relative: Path) -> None:
        source = path.read_bytes()
        try:
            tree = ast.parse(source)
            if not keeps_docstrings(str(relative)):
                tree = DocstringShortener().visit(tree)
            code = compile(
                tree, str(relative), "exec", dont_inherit=True, optimize=0
            )
        except (SyntaxError, ValueError):
            # Templates and syntax tests can't be compiled.
            return
        self._add_folders(relative)
        content = _UNCHECKED_HEADER + source_hash(source) + marshal.dumps(code)
        self._zip.writestr(str(relative.with_suffix(".pyc")), content)

    def _add_folders(self, relative: Path) -> None:
        """Adds entries for folders, which namespace packages need."""
        for folder in relative.parents[:-1]:
            if folder not in self._folders:
                self._folders.add(folder)
                self._zip.writestr(f"{folder}/", b"")

    def _add_extension(self, path: Path, relative: Path) -> None:
        dotted = _MODULE_SUFFIX.sub("", ".".join(relative.parts))
        self._zip.write(path, f"{EXTENSIONS_FOLDER}/{dotted}")
        needed = dict(_iter_libraries(path))
        self._extensions[dotted] = needed
        self._libraries.update(needed)

    def _add_indexes(self) -> None:
        ordered = _sort_by_dependency(self._libraries)
        for name in ordered:
            path = self._libraries[name].resolve()
            self._zip.write(path, f"{LIBRARIES_FOLDER}/{name}")
        lines = (
            " ".join([name, *(lib for lib in ordered if lib in needed)])
            for name, needed in self._extensions.items()
        )
        self._zip.writestr(EXTENSIONS_INDEX, "\n".join(lines))


def _is_omitted(relative: Path) -> bool:
    return any(
        str(parent) in _OMITTED_FOLDERS
        or parent.name in ("__pycache__", "tests")
        for parent in relative.parents
    )


def _iter_requirements(name: str) -> Iterator[str]:
    """Yields the distributions that a distribution needs, itself excluded."""
    seen: set[str] = set()
    pending = [name]
    while pending:
        for line in importlib.metadata.requires(pending.pop()) or ():
            requirement, _, marker = line.partition(";")
            match = re.match(r"[A-Za-z0-9._-]+", requirement)
            if match is None or "extra ==" in marker or match[0] in seen:
                continue
            try:
                importlib.metadata.distribution(match[0])
            except importlib.metadata.PackageNotFoundError:
                # Its marker excludes this Python version or system.
                continue
            seen.add(match[0])
            pending.append(match[0])
    yield from seen


def _iter_libraries(path: Path) -> Iterator[tuple[str, Path]]:
    """Yields the shared libraries that a file needs beyond the C library."""
    listing = subprocess.run(
        ["ldd", str(path)], capture_output=True, check=True, text=True
    )
    for line in listing.stdout.splitlines():
        match = _LIBRARY_LINE.match(line)
        if match is not None and not _SYSTEM_LIBRARIES.match(match[1]):
            yield match[1], Path(match[2])


def _sort_by_dependency(libraries: dict[str, Path]) -> list[str]:
    """Returns the names in an order in which each follows its dependencies."""
    needed = {
        name: {other for other, _ in _iter_libraries(path)}
        for name, path in libraries.items()
    }
    return sorted(needed, key=lambda name: (len(needed[name]), name))
