"""TLS contexts that reload the certificate and key when they change."""

import pathlib
import ssl
import threading

import structlog

from . import schema

CHECK_INTERVAL_S = 5.0

log = structlog.get_logger()


class Certificates:
    """TLS contexts of a node for connections from callers and peers.

    A reloaded certificate applies to subsequent handshakes; open connections
    are unaffected. If the files can't be loaded, the previous certificate
    stays in use.
    """

    def __init__(self, settings: schema.Tls) -> None:
        self._settings = settings
        self.callers = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.peer_server = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        self.peer_client = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
        if settings.peer_ca_file:
            for context in (self.peer_server, self.peer_client):
                context.load_verify_locations(settings.peer_ca_file)
            self.peer_server.verify_mode = ssl.CERT_REQUIRED
        self._contexts = (self.callers, self.peer_server, self.peer_client)
        self._loaded_mtimes = self._file_mtimes()
        self._load()
        self._stop = threading.Event()
        self._thread = threading.Thread(
            target=self._run, name='certificates', daemon=True
        )
        self._thread.start()

    def reload_if_changed(self) -> bool:
        """Reload the certificate and key if either file has changed.

        Returns
        -------
        bool
            Whether a new certificate is in use.
        """
        try:
            mtimes = self._file_mtimes()
            if mtimes == self._loaded_mtimes:
                return False
            self._load()
        except (OSError, ssl.SSLError) as error:
            log.error('certificate not read', error=str(error))
            return False
        self._loaded_mtimes = mtimes
        log.info('certificate read', file=self._settings.certificate_file)
        return True

    def close(self) -> None:
        """Stop checking the files for changes."""
        self._stop.set()
        self._thread.join()

    def _load(self) -> None:
        # Loading into a scratch context first rejects a key that does not
        # match the certificate before any context in use is modified.
        ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER).load_cert_chain(
            self._settings.certificate_file, self._settings.key_file
        )
        for context in self._contexts:
            context.load_cert_chain(
                self._settings.certificate_file, self._settings.key_file
            )

    def _file_mtimes(self) -> tuple[int, int]:
        files = (self._settings.certificate_file, self._settings.key_file)
        certificate, key = (
            pathlib.Path(file).stat().st_mtime_ns for file in files
        )
        return certificate, key

    def _run(self) -> None:
        while not self._stop.wait(CHECK_INTERVAL_S):
            self.reload_if_changed()
