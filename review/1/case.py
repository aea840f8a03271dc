"""A worker crashes while the streams that it shall take over are moved to it."""

import asyncio
import collections
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import deployment  # noqa: E402

ENGINE_COUNT = 7
STREAMS = 300
SEND_INTERVAL_S = 0.001
# The engines are busy with long prompts: a short one begins after this time,
# and a token takes 47 ms, as a chunk of a long prompt is read in between.
FIRST_TOKEN_S = (0.8, 2.4)
EVENT_S = 6 * 0.047
EVENTS = 20
COPY_S = 0.001
LEAVES_S = 2.5
# Plays of the same events, as not each of them has a run in the state that
# matters at the engine that crashes.
MAX_PLAYS = 3
ENGINE = {
    'events': EVENTS,
    'interval_s': EVENT_S,
    'first_s': FIRST_TOKEN_S,
    'copy_s': COPY_S,
}
# From the copy of a run without an event to the crash of its destination.
CRASH_DELAY_S = 0.0


def runs_anew(place: deployment.Deployment) -> dict[str, list[str]]:
    """Return the engines of each request that has run more than once.

    A run begins with its first token; one that goes on from a copy counts as
    the same run.
    """
    engines: dict[str, list[str]] = collections.defaultdict(list)
    for event in place.events:
        if event['event'] == 'runs' and event.get('continues') is None:
            engines[event['id']].append(event['worker'])
    return {name: found for name, found in engines.items() if len(found) > 1}


async def reclaim(
    place: deployment.Deployment, clients: list[asyncio.Task]
) -> int:
    """Send streams and reclaim the engine that has most; return the moves."""
    before = len(place.events)
    for number in range(STREAMS):
        clients.append(
            asyncio.create_task(place.request('/chat/', number % 2))
        )
        await asyncio.sleep(SEND_INTERVAL_S)
    arrived = collections.Counter(
        event['worker']
        for event in place.events[before:]
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
    await asyncio.sleep(LEAVES_S)
    place.lose(source)
    for worker in (source, *lost):
        place.store.remove('servers', worker.id)
        await place.start_worker(
            f'engine-{len(place.workers)}', deployment.ENGINES, **ENGINE
        )
    return len(moved)


async def play(place: deployment.Deployment) -> bool | None:
    """Return whether TWICE was broken; None if no stream was moved."""
    await place.start(2, ENGINE_COUNT, 0, **ENGINE)
    clients: list[asyncio.Task] = []
    moves = await reclaim(place, clients)
    await asyncio.gather(*clients)
    twice = runs_anew(place)
    place.note(f'{moves} moves, {len(twice)} requests ran more than once')
    for name, engines in twice.items():
        place.note(f'TWICE: {name} has run anew at {engines}')
    return bool(twice) if moves else None


if __name__ == '__main__':
    plays = MAX_PLAYS if deployment.has_trouble() else 1
    status = 2
    while plays and status != 1:
        played = deployment.run('1', play)
        status = 1 if played == 1 else min(status, played)
        plays -= 1
    sys.exit(status)
