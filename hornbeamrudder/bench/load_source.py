"""Stand-in of many backend servers that only report their load.

One thread listens on many ports and answers every request with the load report
of an idle server, so that a node can be measured with more workers than the
host can run as processes.
"""

import argparse
import selectors
import socket
import sys
from typing import Sequence

READ_BYTES = 65536
LISTEN_BACKLOG = 16
HEADERS_END = b'\r\n\r\n'
BODY = (
    b'{"running":0,"waiting":0,"outstanding_tokens":0,"slots":16,'
    b'"incarnation":1,"events":[]}'
)
RESPONSE = (
    b'HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n'
    b'Content-Length: %d\r\n\r\n%b' % (len(BODY), BODY)
)


class LoadSource:
    """Serves all listeners and connections of the process."""

    def __init__(self, count: int) -> None:
        self._selector = selectors.DefaultSelector()
        self._received_by_socket: dict[socket.socket, bytes] = {}
        self.ports = tuple(self._listen() for _ in range(count))

    def run(self) -> None:
        """Serve until the process is stopped."""
        while True:
            for key, _ in self._selector.select():
                connection = key.fileobj
                assert isinstance(connection, socket.socket)
                if connection in self._received_by_socket:
                    self._read(connection)
                else:
                    self._accept(connection)

    def _listen(self) -> int:
        listener = socket.create_server(
            ('127.0.0.1', 0), backlog=LISTEN_BACKLOG
        )
        self._selector.register(listener, selectors.EVENT_READ)
        return int(listener.getsockname()[1])

    def _accept(self, listener: socket.socket) -> None:
        accepted, _ = listener.accept()
        accepted.setblocking(False)
        self._received_by_socket[accepted] = b''
        self._selector.register(accepted, selectors.EVENT_READ)

    def _read(self, connection: socket.socket) -> None:
        try:
            data = connection.recv(READ_BYTES)
            received = self._received_by_socket[connection] + data
            requests = received.count(HEADERS_END)
            if requests:
                connection.sendall(RESPONSE * requests)
                received = received.rpartition(HEADERS_END)[2]
        except OSError:
            data = b''
        if not data:
            self._selector.unregister(connection)
            del self._received_by_socket[connection]
            connection.close()
            return
        self._received_by_socket[connection] = received


def main(argv: Sequence[str] | None = None) -> int:
    """Run the server; prints `listening on ip:port`, then all ports."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument('--count', type=int, default=1)
    source = LoadSource(parser.parse_args(argv).count)
    print(f'listening on 127.0.0.1:{source.ports[0]}', flush=True)
    print(' '.join(map(str, source.ports)), flush=True)
    source.run()
    return 0


if __name__ == '__main__':
    sys.exit(main())
