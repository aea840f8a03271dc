"""Adds started hosts to a document and removes hosts that are gone; pure."""

from typing import Any, Collection, Iterable, Mapping

from returns import result

from ..core import hosts
from ..core import ids
from ..inventory import schema


def absent_hosts(
    document: schema.Document, listed: Iterable[hosts.CloudHost]
) -> tuple[ids.HostId, ...]:
    """Hosts of the document that the cloud API does not list."""
    names = {host.id for host in listed}
    return tuple(
        ids.HostId(host.id) for host in document.hosts if host.id not in names
    )


def updated(
    value: Mapping[str, Any],
    document: schema.Document,
    listed: Iterable[hosts.CloudHost],
    gone: Collection[ids.HostId],
    offers: Iterable[hosts.Offer],
) -> dict[str, Any] | None:
    """Return the changed document, None where nothing is to be changed.

    Parameters
    ----------
    value : mapping
        The document as JSON; parts that are not hosts stay as they are.
    gone : collection of HostId
        Hosts that the cloud API records as gone. A host that it does not
        know stays, since operators may run it elsewhere.
    """
    kept = [
        host for host in value.get('hosts', ()) if host.get('id') not in gone
    ]
    changed = len(kept) < len(value.get('hosts', ()))
    base = {**value, 'hosts': kept}
    known = {host.id for host in document.hosts}
    price_by_offer = {offer.key: offer.price_per_hour for offer in offers}
    for host in listed:
        entry = _entry(document, host, price_by_offer)
        if entry is None or host.id in known or host.id in gone:
            continue
        extended = {**base, 'hosts': [*base['hosts'], entry]}
        # An address or id that the document has already is left out, so
        # that it does not keep the other hosts out.
        if isinstance(schema.parse_document(extended), result.Success):
            base = extended
            changed = True
    return base if changed else None


def _entry(
    document: schema.Document,
    host: hosts.CloudHost,
    price_by_offer: Mapping[hosts.OfferKey, float],
) -> dict[str, Any] | None:
    offer = next(
        (
            offer
            for rule in document.rules.fleet
            if rule.service == host.service
            for offer in rule.offers
            if offer.machine_class == host.offer.machine_class
        ),
        None,
    )
    if (
        offer is None
        or host.address is None
        or host.slots < 1
        or host.phase is not hosts.HostPhase.RUNNING
    ):
        return None
    return {
        'id': host.id,
        'data_centre': host.offer.zone,
        'machine_class': host.offer.machine_class,
        'pricing': host.offer.pricing.value,
        'price_per_hour': price_by_offer.get(host.offer, 0.0),
        'workers': [
            {
                'id': f'{host.service}@{host.id}',
                'service': host.service,
                'ip': host.address.ip,
                'port': host.address.port,
                'slots': host.slots,
                'checks_fencing': offer.checks_fencing,
                'checks_sender': offer.checks_sender,
            }
        ],
    }
