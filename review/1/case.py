"""A worker crashes while the streams that it shall take over are moved to it."""

import asyncio
import collections
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import deployment  # noqa: E402

ENGINE_COUNT = 7
STREAMS = 200
SEND_INTERVAL_S = 0.001
# The engines are busy with long prompts: they begin a short one after this
# time, and a token takes 47 ms, as a chunk of a long prompt is read in between.
FIRST_TOKEN_S = 1.3
EVENT_S = 6 * 0.047
EVENTS = 20
COPY_S = 0.004
LEAVES_S = 2.5
# From the copy of a run without an event to the crash of its destination.
CRASH_DELAY_S = 0.02


async def play(place: deployment.Deployment) -> bool | None:
    """Return whether TWICE was broken; None if the case did not come about."""
    await place.start(
        2,
        ENGINE_COUNT,
        0,
        events=EVENTS,
        interval_s=EVENT_S,
        first_s=FIRST_TOKEN_S,
        copy_s=COPY_S,
    )
    clients = []
    for number in range(STREAMS):
        clients.append(
            asyncio.create_task(place.request('/chat/', number % 2))
        )
        await asyncio.sleep(SEND_INTERVAL_S)
    arrived = collections.Counter(
        event['worker']
        for event in place.events
        if event['event'] == 'arrives'
    )
    source = place.workers[arrived.most_common(1)[0][0]]
    by_address = {
        worker.address: worker for worker in place.workers.values()
    }
    lost: list[deployment.Worker] = []
    moved: list[str] = []

    def watch(event: dict) -> None:
        if event['event'] != 'copied' or event['last']:
            return
        moved.append(event['id'])
        if deployment.has_trouble() and not lost and event['made'] == 0:
            lost.append(by_address[event['to']])
            asyncio.get_running_loop().call_later(
                CRASH_DELAY_S, place.lose, lost[0]
            )

    place.on_event = watch
    place.note(f'{source.id} is reclaimed, {LEAVES_S} s after this notice')
    place.register(
        source, state='draining', spot=True, leaves_ms=int(LEAVES_S * 1e3)
    )
    notice_at = time.monotonic()
    await asyncio.sleep(LEAVES_S)
    place.lose(source)
    place.store.remove('servers', source.id)
    if lost:
        place.store.remove('servers', lost[0].id)
    await asyncio.gather(*clients)
    place.note(
        f'{len(moved)} moved, ended {time.monotonic() - notice_at:.1f} s after '
        'the notice'
    )
    if not moved or (deployment.has_trouble() and not lost):
        return None
    # A run begins with its first token; one that goes on from a copy counts
    # as the same run.
    runs = collections.Counter(
        event['id']
        for event in place.events
        if event['event'] == 'runs' and event.get('continues') is None
    )
    twice = [name for name, count in runs.items() if count > 1]
    for name in twice:
        where = [
            event['worker']
            for event in place.events
            if event['event'] == 'runs' and event['id'] == name
        ]
        place.note(f'TWICE: {name} has run anew at {where}')
    return bool(twice)


if __name__ == '__main__':
    sys.exit(deployment.run('1', play))
