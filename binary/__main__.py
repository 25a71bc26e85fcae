"""Writes the executable to `dist/rhubarbpaddle`."""

import shutil
import subprocess
import sysconfig
import tempfile
from pathlib import Path

from binary.archive import Archive

ROOT = Path(__file__).parents[1]
TARGET = ROOT / "dist" / "rhubarbpaddle"


def main() -> None:
    """Builds the launcher and appends the archive."""
    TARGET.parent.mkdir(exist_ok=True)
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        launcher = folder / "launcher"
        _compile_launcher(launcher)
        archive = folder / "archive.zip"
        Archive(archive).add_all()
        executable = folder / "rhubarbpaddle"
        with executable.open("wb") as output:
            for source in (launcher, archive):
                with source.open("rb") as content:
                    shutil.copyfileobj(content, output)
        executable.chmod(0o755)
        shutil.move(executable, TARGET)
    size = TARGET.stat().st_size / 1_000_000
    print(f"wrote {TARGET} ({size:.1f} MB)")


def _compile_launcher(target: Path) -> None:
    library = (
        Path(sysconfig.get_config_var("LIBPL"))
        / f"libpython{sysconfig.get_python_version()}.a"
    )
    subprocess.run(
        [
            "gcc",
            "-O2",
            "-o",
            str(target),
            str(Path(__file__).parent / "launcher.c"),
            f"-I{sysconfig.get_path('include')}",
            "-Wl,--whole-archive",
            str(library),
            "-Wl,--no-whole-archive",
            "-Wl,--export-dynamic",
            "-Wl,--strip-debug",
            "-lm",
            "-ldl",
            "-lpthread",
            "-lutil",
        ],
        check=True,
    )


if __name__ == "__main__":
    main()
