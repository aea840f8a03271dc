"""Updates the hosts of a document to match the cloud API.

The functions have no side effects.
"""

from typing import Any, Collection, Iterable, Mapping

from returns import result

from ..core import hosts
from ..core import ids
from ..inventory import schema


def unlisted_hosts(
    document: schema.Document, listed: Iterable[hosts.CloudHost]
) -> tuple[ids.HostId, ...]:
    """Return the hosts of the document that the cloud API does not list."""
    listed_ids = {host.id for host in listed}
    return tuple(
        ids.HostId(host.id)
        for host in document.hosts
        if host.id not in listed_ids
    )


def update_hosts(
    raw_document: Mapping[str, Any],
    document: schema.Document,
    listed: Iterable[hosts.CloudHost],
    gone: Collection[ids.HostId],
    offers: Iterable[hosts.Offer],
) -> dict[str, Any] | None:
    """Return the updated document, or None if nothing changes.

    Parameters
    ----------
    raw_document : mapping
        The document as JSON; only its hosts are changed.
    gone : collection of HostId
        Hosts that the cloud API records as gone. Hosts unknown to it are
        kept, since operators may run them with another provider.
    """
    kept_hosts = [
        host
        for host in raw_document.get('hosts', ())
        if host.get('id') not in gone
    ]
    is_changed = len(kept_hosts) < len(raw_document.get('hosts', ()))
    updated = {**raw_document, 'hosts': kept_hosts}
    known_ids = {host.id for host in document.hosts}
    price_by_offer = {offer.key: offer.price_per_hour for offer in offers}
    for host in listed:
        entry = _entry(document, host, price_by_offer)
        if entry is None or host.id in known_ids or host.id in gone:
            continue
        extended = {**updated, 'hosts': [*updated['hosts'], entry]}
        # An entry whose id or address is already in use is skipped, so that
        # it does not invalidate the whole change.
        if isinstance(schema.parse_document(extended), result.Success):
            updated = extended
            is_changed = True
    return updated if is_changed else None


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
