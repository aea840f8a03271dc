"""Steps for the reservation of ports."""

import contextlib
import json
import socket
import subprocess
import sys

import behave

from hornbeamrudder.standins import ports

# Below the ports that other tests reserve at the same time.
FIRST_PORT = 9_000
SOCKET_KINDS = {'TCP': socket.SOCK_STREAM, 'UDP': socket.SOCK_DGRAM}
# Prints the reserved ports and keeps them until its input is closed.
PROGRAM = """
import json, sys
from hornbeamrudder.standins import ports
count, times, candidates = json.loads(sys.argv[1])
print(json.dumps([ports.reserve(count, candidates) for _ in range(times)]))
sys.stdout.flush()
sys.stdin.read()
"""


def start_process(context, count, candidates, times=1):
    process = subprocess.Popen(
        [
            sys.executable,
            '-c',
            PROGRAM,
            json.dumps([count, times, list(candidates)]),
        ],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    context.add_cleanup(process.communicate)
    return process


def reserved_ports(process):
    return [
        port
        for reservation in json.loads(process.stdout.readline())
        for port in reservation
    ]


def candidate_ports(total):
    return range(FIRST_PORT, FIRST_PORT + total)


@behave.when(
    '{processes:d} processes reserve {count:d} of {total:d} ports each'
    ' and keep running'
)
def reserve_in_processes(context, processes, count, total):
    context.expected = processes * count
    context.reserved = [
        port
        for _ in range(processes)
        for port in reserved_ports(
            start_process(context, count, candidate_ports(total))
        )
    ]


@behave.when('a process reserves {count:d} of {total:d} ports {times:d} times')
def reserve_repeatedly(context, count, total, times):
    process = start_process(context, count, candidate_ports(total), times)
    context.expected = count * times
    context.reserved = reserved_ports(process)


@behave.then('no port is reserved twice')
def check_distinct(context):
    assert len(context.reserved) == context.expected, context.reserved
    assert len(set(context.reserved)) == context.expected, context.reserved


@behave.when('a process that reserved {count:d} of {total:d} ports ends')
def reserve_and_end(context, count, total):
    process = start_process(context, count, candidate_ports(total))
    context.reserved = reserved_ports(process)
    process.communicate()


@behave.then('another process can reserve these {count:d} ports')
def check_reserved_again(context, count):
    process = start_process(context, count, context.reserved)
    again = reserved_ports(process)
    assert set(again) == set(context.reserved), again


@behave.when('another program uses a port for {protocol}')
def use_port(context, protocol):
    other = socket.socket(socket.AF_INET, SOCKET_KINDS[protocol])
    context.add_cleanup(other.close)
    for port in candidate_ports(60):
        with contextlib.suppress(OSError):
            other.bind(('127.0.0.1', port))
            context.taken = port
            return
    raise AssertionError('all candidate ports are in use')


@behave.then('reserving that port fails as "{text}"')
def check_not_reserved(context, text):
    try:
        reserved = ports.reserve(1, [context.taken])
    except RuntimeError as error:
        assert str(error) == text, error
    else:
        raise AssertionError(f'reserved {reserved}')
