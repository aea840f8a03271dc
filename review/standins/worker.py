"""Stand-in for one worker, run as a process of its own.

Its settings are a JSON object in the first argument. It writes one JSON line
to standard output for each thing that it does.
"""

import asyncio
import dataclasses
import json
import os
import random
import sys
import time
import uuid
from typing import Any

import wire

PREFIX = 'X-Hornbeamrudder-'


@dataclasses.dataclass
class Run:
    """A request that this worker runs as a stream."""

    request_id: str
    run_id: str
    last_event: int
    until: int
    stopped: bool = False
    handle: str = ''


class Worker:
    """A plain service, or a model engine if it has `events`."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.settings = settings
        self.id = settings['id']
        self.runs: dict[str, Run] = {}
        # Kept memory of runs, and copies from other workers, by handle.
        self.copies: dict[str, dict[str, Any]] = {}
        # Transfers use the link one after the other.
        self.link = asyncio.Lock()

    def tell(self, event: str, **fields: Any) -> None:
        """Report what the worker does."""
        print(
            json.dumps(
                {
                    'at': time.monotonic(),
                    'worker': self.id,
                    'event': event,
                    **fields,
                }
            ),
            flush=True,
        )

    async def run(self) -> None:
        """Serve until killed."""
        server = await asyncio.start_server(
            self._serve,
            self.settings.get('ip', '127.0.0.1'),
            self.settings.get('port', 0),
        )
        address = '%s:%d' % server.sockets[0].getsockname()[:2]
        self.tell('listens', address=address)
        await asyncio.Event().wait()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await wire.read_request(reader):
                if not await self._answer(request, reader, writer):
                    return
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def _answer(
        self,
        request: wire.Request,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the channel stays open."""
        if request.path == '/report':
            writer.write(wire.json_response(200, {'numRunning': len(self.runs)}))
            return True
        if request.path == '/kv-move':
            writer.write(await self._move(json.loads(request.body)))
            return True
        if request.path == '/stand-in-copy':
            copy = json.loads(request.body)
            self.copies[copy['handle']] = copy
            writer.write(wire.json_response(200, {}))
            return True
        request_id = request.headers.get(PREFIX.lower() + 'request-id', '')
        expected = request.headers.get(PREFIX.lower() + 'expect-instance')
        if expected not in (None, self.id):
            return self._refuse(writer, request_id, 421)
        self.tell(
            'arrives',
            id=request_id,
            kv_from=request.headers.get('kv-from'),
            last_event_id=request.headers.get('last-event-id'),
        )
        if self.settings.get('events'):
            return await self._stream(request, request_id, reader, writer)
        return await self._plain(request, request_id, reader, writer)

    def _refuse(
        self, writer: asyncio.StreamWriter, request_id: str, status: int
    ) -> bool:
        self.tell('refuses', id=request_id, status=status)
        writer.write(
            wire.response(
                status,
                'Refused',
                b'',
                {
                    PREFIX + 'Request-Id': request_id,
                    PREFIX + 'Not-Executed': '1',
                },
            )
        )
        return True

    def _head(self, request_id: str) -> dict[str, str]:
        return {
            PREFIX + 'Request-Id': request_id,
            PREFIX + 'Response-Seal': f'seal.{self.id}.{request_id}',
        }

    async def _plain(
        self,
        request: wire.Request,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        self.tell('runs', id=request_id, method=request.method)
        await asyncio.sleep(self.settings.get('work_s', 0.02))
        self.tell('ends', id=request_id)
        answer = wire.response(
            200,
            'OK',
            f'answer of {self.id} to {request_id}'.encode(),
            self._head(request_id),
        )
        if request.method == 'HEAD':
            answer = answer[: answer.index(b'\r\n\r\n') + 4]
        writer.write(answer)
        return True

    async def _stream(
        self,
        request: wire.Request,
        request_id: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        last = int(request.headers.get('last-event-id') or 0)
        source = request.headers.get('kv-from')
        run_id = uuid.uuid4().hex[:8]
        if source is not None:
            copy = self.copies.pop(source.rpartition('/')[2], None)
            if copy is None or copy['request_id'] != request_id:
                return self._refuse(writer, request_id, 503)
            run_id = copy['run_id']
        run = Run(request_id, run_id, last, int(self.settings['events']))
        if source is None:
            # Prompts are read in one after the other.
            await asyncio.sleep(
                random.uniform(*self.settings.get('first_s', (0.0, 0.0)))
            )
        if self._crashes_under(request):
            self.tell('crashes', id=request_id)
            os._exit(1)
        self.runs[request_id] = run
        self.tell('runs', id=request_id, run=run_id, continues=source)
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [
            f'{name}: {value}' for name, value in self._head(request_id).items()
        ]
        lines.append('Transfer-Encoding: chunked')
        writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n')
        gone = asyncio.create_task(reader.read(1))
        try:
            while run.last_event < run.until:
                await asyncio.sleep(self.settings.get('interval_s', 0.05))
                if gone.done() or writer.is_closing():
                    self.tell('caller left', id=request_id)
                    return False
                if run.stopped:
                    self.tell('stopped', id=request_id)
                    return False
                run.last_event += 1
                text = f'id: {run.last_event}\ndata: {run_id}\n\n'.encode()
                writer.write(b'%x\r\n%s\r\n' % (len(text), text))
            writer.write(b'0\r\n\r\n')
            await writer.drain()
            self.tell('ends', id=request_id)
            return False
        finally:
            gone.cancel()
            if self.runs.get(request_id) is run:
                del self.runs[request_id]

    def _crashes_under(self, request: wire.Request) -> bool:
        prefix = request.headers.get(PREFIX.lower() + 'prompt-prefix', '')
        parts = [entry.partition(':')[0] for entry in prefix.split(',')]
        return self.settings.get('crash_part') in parts[:-1]

    async def _move(self, order: dict[str, Any]) -> bytes:
        """Copy the memory of a run to another worker, as `POST /kv-move`."""
        run = self.runs.get(order['id'])
        if run is None:
            return wire.json_response(404, {})
        last = bool(order.get('last'))
        if last:
            run.stopped = True
        run.handle = run.handle or uuid.uuid4().hex[:12]
        self.tell('copies', id=run.request_id, to=order['to'], last=last)
        async with self.link:
            await asyncio.sleep(self.settings.get('copy_s', 0.015))
        copy = {
            'handle': run.handle,
            'request_id': run.request_id,
            'run_id': run.run_id,
        }
        if last:
            self.copies[run.handle] = copy
        body = {'handle': run.handle, 'created': run.last_event}
        if not await _transfer(order['to'], copy):
            self.tell('copy failed', id=run.request_id, to=order['to'])
            return wire.json_response(503, body if last else {})
        self.tell(
            'copied',
            id=run.request_id,
            to=order['to'],
            last=last,
            made=run.last_event,
        )
        return wire.json_response(200, body)


async def _transfer(address: str, copy: dict[str, Any]) -> bool:
    """Hand a copy over to another worker; False if it is not reached."""
    ip, _, port = address.partition(':')
    body = json.dumps(copy).encode()
    try:
        reader, writer = await asyncio.open_connection(ip, int(port))
        writer.write(
            b'POST /stand-in-copy HTTP/1.1\r\nHost: worker\r\n'
            b'Content-Length: %d\r\n\r\n%s' % (len(body), body)
        )
        line = await reader.readline()
        writer.close()
    except OSError:
        return False
    return b' 200 ' in line


if __name__ == '__main__':
    asyncio.run(Worker(json.loads(sys.argv[1])).run())
