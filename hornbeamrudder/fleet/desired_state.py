"""Derives the desired state from the document and the demand.

The functions have no side effects.
"""

import collections
from typing import Iterable, Mapping

from . import controller
from ..core import ids
from ..core import types
from . import demand
from ..inventory import schema
from . import orders
from ..peers import messages
from . import weights


def from_document(
    document: schema.Document, rates: Iterable[messages.Rate]
) -> controller.DesiredState:
    """Return the desired state of the services that have a fleet rule.

    Parameters
    ----------
    rates : iterable of Rate
        Rates of all live nodes; those of one service and rank are summed.
    """
    rules = [
        rule
        for rule in document.rules.fleet
        if rule.service in document.services_by_name
    ]
    return controller.DesiredState(
        services=tuple(ids.ServiceName(rule.service) for rule in rules),
        demands=tuple(
            demand.Demand(
                rate.service,
                types.Rank(rate.rank),
                rate.arrivals_per_s,
                rate.service_s,
            )
            for rate in rates
            # Peers of a later release may send ranks unknown to this one.
            if rate.rank in tuple(types.Rank)
        ),
        models=tuple(
            model for rule in rules for model in _models(document, rule)
        ),
        target_by_model={
            offer.model: orders.Target(offer.model)
            for rule in rules
            for offer in rule.offers
            if offer.model is not None
        },
        machine_classes_by_service={
            ids.ServiceName(rule.service): frozenset(
                ids.MachineClass(offer.machine_class) for offer in rule.offers
            )
            for rule in rules
        },
        urgent_slots_by_service={
            ids.ServiceName(rule.service): rule.urgent_slots for rule in rules
        },
    )


def _models(
    document: schema.Document, rule: schema.FleetRule
) -> tuple[weights.Model, ...]:
    """Return the models of a rule, with engines counted by machine class.

    The size of the weights is not part of the rules; a size of 0 makes the
    engines of a service load one at a time.
    """
    model_by_class: Mapping[str, str] = {
        offer.machine_class: offer.model
        for offer in rule.offers
        if offer.model is not None
    }
    engines_by_model = collections.Counter(
        model_by_class[host.machine_class]
        for host in document.hosts
        for worker in host.workers
        if worker.service == rule.service
        and host.machine_class in model_by_class
    )
    return tuple(
        weights.Model(
            model,
            ids.ServiceName(rule.service),
            types.Rank.URGENT,
            0,
            engines_by_model[model],
        )
        for model in sorted(set(model_by_class.values()))
    )
