"""Control of the preloaded library that steps a front's wall clock, blocks its polls and fails its calls."""

from __future__ import annotations

import mmap
import struct
import subprocess
from pathlib import Path

SOURCE = Path(__file__).with_name("fault_shim.c")
FIELDS = (
    "clock_step_ns",
    "hold",
    "held",
    "accept_failures",
    "accept_errno",
    "setsockopt_failures",
    "send_failures",
    "send_errno",
    "recv_failures",
    "recv_errno",
    "bind_failures",
    "bind_errno",
    "disk_failures",
    "disk_errno",
    "polling",
)
FIELD = struct.Struct("q")


def build_shim(folder: Path) -> Path:
    """Compile the library with the installed C compiler; return the path of the library."""
    library = folder / "fault_shim.so"
    command = ["cc", "-shared", "-fPIC", "-O1", "-o", str(library), str(SOURCE), "-ldl"]
    subprocess.run(command, check=True, capture_output=True)
    return library


class FaultControl:
    """Controls the library in one front through integers in a file that both processes map."""

    def __init__(self, path: Path) -> None:
        self.path = path
        path.write_bytes(bytes(FIELD.size * len(FIELDS)))
        with path.open("r+b") as file:
            self._mapped = mmap.mmap(file.fileno(), 0)

    def environment(self, library: Path) -> dict[str, str]:
        """Return the environment variables that load the library into a front."""
        return {"LD_PRELOAD": str(library), "FAULT_SHIM_CONTROL": str(self.path)}

    def set(self, field: str, value: int) -> None:
        """Set the value of a field."""
        FIELD.pack_into(self._mapped, FIELD.size * FIELDS.index(field), value)

    def get(self, field: str) -> int:
        """Return the value of a field."""
        value: int = FIELD.unpack_from(self._mapped, FIELD.size * FIELDS.index(field))[0]
        return value

    def step_clock(self, seconds: float) -> None:
        """Set the error of the front's wall clock in seconds."""
        self.set("clock_step_ns", int(seconds * 1e9))
