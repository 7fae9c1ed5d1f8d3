"""Writing of capture files. All calls may block on the disk and are made on the recorder's thread."""

import errno
import os
import time
from pathlib import Path

from ochrehoist.admission.settings import Tenant
from ochrehoist.capture.batching import file_is_complete, files_to_delete
from ochrehoist.capture.encoding import encode_block, encode_header, encode_tenants, file_prefix
from ochrehoist.capture.records import FILE_SUFFIX, CaptureHeader, NoCaptureFileError, Record
from ochrehoist.config.tables import CaptureConfig
from ochrehoist.units import NS_PER_MS

FILE_MODE = 0o600
TENANTS_PER_PART = 500  # tenants of a header that are encoded in one call
PAUSE_BETWEEN_PARTS_S = 0.0005  # lets the event loop's thread acquire the interpreter lock
BYTES_PER_MB = 1e6


class CaptureFile:
    """One open capture file."""

    def __init__(
        self, folder: Path, worker_name: str, header: CaptureHeader, tenants: tuple[Tenant, ...]
    ) -> None:
        name = f"{time.time_ns() // NS_PER_MS:014d}-{worker_name}-{os.getpid()}{FILE_SUFFIX}"
        self._fd = os.open(folder / name, os.O_WRONLY | os.O_CREAT | os.O_EXCL, FILE_MODE)
        self.opened_at_s = time.monotonic()
        self.size_bytes = 0
        tenant_parts = []
        for start in range(0, len(tenants), TENANTS_PER_PART):
            part = tenants[start : start + TENANTS_PER_PART]
            tenant_parts.append(encode_tenants([(tenant.name, tenant.quota_per_s) for tenant in part]))
            time.sleep(PAUSE_BETWEEN_PARTS_S)
        self.write(file_prefix() + encode_header(header, len(tenants), tenant_parts))

    def write(self, data: bytes) -> None:
        """Writes all of `data`. Raises OSError, after which a part of it may be in the file."""
        written = os.write(self._fd, data)
        self.size_bytes += written
        if written < len(data):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    def close(self) -> None:
        """Closes the file."""
        os.close(self._fd)


class CaptureWriter:
    """Writer of one worker's files, one open at a time; the oldest are deleted to keep to the size limit."""

    def __init__(self, config: CaptureConfig, worker_name: str) -> None:
        self.folder = Path(config.folder)
        self.file_size_bytes = 0  # size of the last written file
        self._config = config
        self._worker_name = worker_name
        self._file: CaptureFile | None = None

    def start_file(self, header: CaptureHeader, tenants: tuple[Tenant, ...]) -> bool:
        """Closes the open file and starts a new one; returns False, since that is not complete.

        Raises OSError.
        """
        self.close()
        self._file = CaptureFile(self.folder, self._worker_name, header, tenants)
        sizes = [(path.name, path.stat().st_size) for path in self.folder.glob(f"*{FILE_SUFFIX}")]
        for name in files_to_delete(sizes, int(self._config.max_mb * BYTES_PER_MB)):
            (self.folder / name).unlink()
        return False

    def write(self, records: list[Record]) -> bool:
        """Writes a block, and returns whether the file is complete with it.

        Raises OSError or NoCaptureFileError, after which a new file has to be started.
        """
        if self._file is None:
            raise NoCaptureFileError
        try:
            self._file.write(encode_block(records))
        except OSError:  # a partial block may have been written; no other block can follow it
            self.close()
            raise
        self.file_size_bytes = self._file.size_bytes
        max_file_bytes = int(self._config.max_file_mb * BYTES_PER_MB)
        return file_is_complete(
            self._file.opened_at_s,
            time.monotonic(),
            self._file.size_bytes,
            self._config.max_file_age_s,
            max_file_bytes,
        )

    def close(self) -> None:
        """Closes the open file, if there is one."""
        if self._file is not None:
            self._file.close()
            self._file = None
