"""Steps for prompt parts under which backend servers crash."""

import asyncio
import dataclasses
import itertools
import time

import behave

from hornbeamrudder.gateway.features import node_harness
from hornbeamrudder.gateway import records
from hornbeamrudder.standins import platform_caller
from hornbeamrudder.standins import platform_server

CONTACT_S = 3.0
BAD_PART = 'bad0'
ENGINE_COUNT = 12
EVENT_COUNT = 6
SOUND_INTERVAL_S = 0.033
BAD_INTERVAL_S = 0.25
# Sound requests before the first bad one.
USUAL_S = 1.5
# From the first bad request until the end, if the servers go on crashing.
BAD_S = 4 * CONTACT_S + 2.0
RESTART_S = 2.5
# Parts that sound requests and bad ones share.
FIRST_PARTS = ('first0', 'first1', 'first2')
OWN_PARTS = tuple(f'own{number}' for number in range(20))
FATAL_CRASH = 5
MAX_LATER_SENDS = 3


@dataclasses.dataclass
class SentRequest:
    """A request of a client and what came of it."""

    request_id: str
    is_bad: bool
    sent_at: float
    response: platform_caller.Response | None = None


class CrashTraffic:
    """Sound and bad requests at all nodes, and servers that start again.

    Attributes
    ----------
    has_one_prompt : bool
        Whether all bad requests have the same prompt, of which only the last
        part is not in sound ones.
    """

    def __init__(self, harness, has_one_prompt):
        self.harness = harness
        self.has_one_prompt = has_one_prompt
        self.sent = []
        self.crashed_at = []
        self._tasks = []
        self._starts = itertools.count()
        for server in harness.engines:
            self._watch(server)

    def _watch(self, server):
        server.crashing_parts = {BAD_PART}
        server.on_crash = self._on_crash

    def _on_crash(self, server):
        self.crashed_at.append(time.monotonic())
        self._tasks.append(asyncio.create_task(self._replace(server)))

    async def _replace(self, server):
        await asyncio.sleep(RESTART_S)
        self.harness.store.remove('servers', server.id)
        replacement = platform_server.PlatformServer(
            f'{server.id}-{next(self._starts)}', server.service, server.events
        )
        self._watch(replacement)
        await replacement.start(node_harness.IP)
        self.harness.engines.append(replacement)
        self.harness.put_entry(replacement)

    def send(self, number, is_bad):
        """Send one request; its parts are taken in turn."""
        request = SentRequest(
            platform_caller.new_request_id(), is_bad, time.monotonic()
        )
        self.sent.append(request)
        self._tasks.append(
            asyncio.create_task(
                self._send(request, number, self._parts(number, is_bad))
            )
        )

    def _parts(self, number, is_bad):
        if is_bad and self.has_one_prompt:
            return (FIRST_PARTS[0], OWN_PARTS[0], BAD_PART)
        return (
            FIRST_PARTS[number % len(FIRST_PARTS)],
            BAD_PART if is_bad else OWN_PARTS[number % len(OWN_PARTS)],
            f'last{number}',
        )

    async def _send(self, request, number, parts):
        request.response = await self.harness.send_request(
            ('/plan/x', '/chat/x')[number % 2],
            number=number % len(self.harness.nodes),
            request_id=request.request_id,
            headers=(
                'X-Hornbeamrudder-Model: m',
                'X-Hornbeamrudder-Token-Counts: 300,40',
                'X-Hornbeamrudder-Prompt-Prefix: '
                + ','.join(f'{part}:100' for part in parts),
            ),
        )

    async def run(self):
        """Send the requests, then wait for their responses."""
        started_at = time.monotonic()
        bad_count = 0
        for number in itertools.count():
            now = time.monotonic()
            if now > started_at + USUAL_S + BAD_S:
                break
            self.send(number, False)
            if now > started_at + USUAL_S + bad_count * BAD_INTERVAL_S:
                bad_count += 1
                self.send(bad_count, True)
            await asyncio.sleep(SOUND_INTERVAL_S)
        await asyncio.wait(self._tasks)

    def received(self, request):
        """Return the times at which servers received a request."""
        return [
            item.received_at
            for item in self.harness.received_requests(request.request_id)
        ]

    def begun_share(self, since, until):
        """Return the share of sound requests served at the first attempt."""
        sound = [
            request
            for request in self.sent
            if not request.is_bad and since <= request.sent_at < until
        ]
        return sum(
            request.response.status == 200 and len(self.received(request)) == 1
            for request in sound
        ) / len(sound)


@behave.when(
    'requests with a {cause} that crashes its server come at {count:d} nodes'
    ' beside sound ones'
)
def send_bad_requests(context, cause, count):
    async def scenario(harness):
        traffic = CrashTraffic(harness, cause == 'prompt')
        await traffic.run()
        return traffic

    context.traffic = node_harness.run_scenario(
        scenario,
        node_count=count,
        engine_count=ENGINE_COUNT,
        event_count=EVENT_COUNT,
        bounds=records.Bounds(contact_s=CONTACT_S, retry_slack=50.0),
    )


@behave.then(
    'at most {count:d} of them reach servers later than the contact bound'
    ' after the fifth crash'
)
def check_later_sends(context, count):
    traffic = context.traffic
    assert traffic.crashed_at, 'no server has crashed'
    if len(traffic.crashed_at) < FATAL_CRASH:
        return
    limit = traffic.crashed_at[FATAL_CRASH - 1] + CONTACT_S
    later = [
        moment
        for request in traffic.sent
        if request.is_bad
        for moment in traffic.received(request)
        if moment > limit
    ]
    assert len(later) <= count, (len(later), len(traffic.crashed_at))


@behave.then(
    'sound requests begin at the first attempt at least {share:g} times as'
    ' often as before'
)
def check_sound_requests(context, share):
    traffic = context.traffic
    first_bad_at = next(item.sent_at for item in traffic.sent if item.is_bad)
    decisive = traffic.crashed_at[:FATAL_CRASH][-1]
    usual = traffic.begun_share(0.0, first_bad_at)
    since = traffic.begun_share(decisive + 2 * CONTACT_S, float('inf'))
    assert since >= share * usual, (since, usual)
