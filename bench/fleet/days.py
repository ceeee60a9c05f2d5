"""Days that the model plays: four graphs of calls, several troubles."""

from bench.fleet import deployments

Event = deployments.Event
Kind = deployments.Kind
Service = deployments.Service
Trouble = deployments.Trouble

CREWS = (
    Service(name="roster", speeds=(0.5, 1.0, 1.0, 1.5), slots=87),
    Service(name="placement", speeds=(0.6, 1.0, 1.4), slots=116),
    Service(name="documents", speeds=(0.5, 1.0, 1.0), slots=116),
    Service(
        name="allotments",
        speeds=(0.6, 1.0, 1.4),
        slots=23,
        knee=0.95,
        knee_factor=1.3,
    ),
)
CREW_KINDS = (
    Kind(
        name="availability",
        service="roster",
        rate=164,
        work=0.09,
        target=1.2,
        deadline=5.0,
        timeout=5.0,
        priority=2,
        worth=1,
        late=0.5,
        calls=(("berth", 1),),
    ),
    Kind(
        name="placement",
        service="placement",
        rate=53.5,
        work=0.12,
        target=1.5,
        deadline=5.0,
        timeout=5.0,
        priority=0,
        worth=3,
        late=1,
        idempotent=False,
        calls=(("certificate", 1),),
    ),
    Kind(
        name="upload",
        service="documents",
        rate=16.6,
        work=0.11,
        spread=0.8,
        target=0.4,
        deadline=1.5,
        timeout=1.5,
        priority=1,
        worth=2,
        late=1,
        idempotent=False,
    ),
    Kind(
        name="allotment",
        service="allotments",
        rate=32.7,
        work=0.36,
        spread=0.3,
        target=1.0,
        deadline=4.0,
        timeout=2.0,
        priority=2,
        worth=1,
        late=0.5,
    ),
    Kind(
        name="berth",
        service="placement",
        work=0.015,
        target=1.0,
        deadline=2.5,
        timeout=2.5,
        priority=1,
        calls=(("certificate", 1),),
    ),
    Kind(
        name="certificate",
        service="documents",
        work=0.015,
        target=0.8,
        deadline=2.0,
        timeout=2.0,
        priority=1,
        calls=(("ledger", 4),),
    ),
    Kind(
        name="ledger",
        service="allotments",
        work=0.022,
        target=0.3,
        deadline=0.7,
        timeout=0.7,
        priority=1,
    ),
)
SHOPS = (
    Service(name="catalogue", speeds=(0.7, 1.0, 1.3), slots=80),
    Service(name="quotes", speeds=(0.7, 1.0, 1.3), slots=80),
    Service(name="stock", speeds=(0.6, 1.0, 1.4), slots=25),
)
SHOP_KINDS = (
    Kind(
        name="browse",
        service="catalogue",
        rate=100,
        work=0.16,
        target=1.5,
        deadline=6.0,
        timeout=6.0,
        priority=2,
        worth=1,
        late=0.1,
        calls=(("count", 3),),
    ),
    Kind(
        name="quote",
        service="quotes",
        rate=55,
        work=0.21,
        target=2.0,
        deadline=6.0,
        timeout=6.0,
        priority=0,
        worth=3,
        late=0.2,
        idempotent=False,
        calls=(("count", 4),),
    ),
    Kind(
        name="price",
        service="stock",
        rate=45,
        work=0.064,
        target=0.25,
        deadline=0.8,
        timeout=0.8,
        priority=1,
        worth=2,
        late=0.2,
    ),
    Kind(
        name="count",
        service="stock",
        work=0.04,
        target=0.3,
        deadline=0.7,
        timeout=0.7,
        priority=1,
    ),
)

BULLETINS = (
    Service(name="archive", speeds=(0.7, 0.7, 1.6) * 2 + (1.0,), slots=54),
    Service(
        name="subscriptions",
        speeds=(0.5, 1.0, 1.0, 1.5) * 2 + (0.5, 1.0, 1.5),
        slots=54,
    ),
    Service(name="notices", speeds=(0.6, 1.0, 1.0, 1.4), slots=80),
    Service(
        name="audience",
        speeds=(0.6, 1.0, 1.4),
        slots=63,
        queue=243,
        knee=0.95,
        knee_factor=1.3,
    ),
)
"""A third of a deployment of 71 hosts; the last service is the narrow one."""
BULLETIN_KINDS = (
    Kind(
        name="lookup",
        service="archive",
        rate=95,
        work=0.36,
        spread=0.8,
        target=2.0,
        deadline=5.0,
        timeout=2.0,
        priority=2,
        worth=1,
        late=0.5,
        calls=(("status", 2),),
    ),
    Kind(
        name="booking",
        service="subscriptions",
        rate=105,
        work=0.47,
        spread=0.3,
        target=2.5,
        deadline=5.0,
        timeout=2.5,
        priority=0,
        worth=3,
        late=1,
        idempotent=False,
        calls=(("slot", 2),),
    ),
    Kind(
        name="notice",
        service="notices",
        rate=32.5,
        work=0.25,
        spread=0.8,
        target=0.8,
        deadline=3.0,
        timeout=1.5,
        priority=0,
        worth=3,
        late=1.5,
        idempotent=False,
    ),
    Kind(
        name="count",
        service="audience",
        rate=74.7,
        work=0.14,
        spread=0.3,
        target=0.4,
        deadline=1.5,
        timeout=0.8,
        priority=1,
        worth=2,
        late=1,
    ),
    Kind(
        name="status",
        service="subscriptions",
        work=0.015,
        target=1.0,
        deadline=2.5,
        timeout=2.5,
        priority=1,
        calls=(("slot", 1),),
    ),
    Kind(
        name="slot",
        service="notices",
        work=0.015,
        target=0.8,
        deadline=2.0,
        timeout=2.0,
        priority=1,
        calls=(("opens", 4),),
    ),
    Kind(
        name="opens",
        service="audience",
        work=0.091,
        target=0.3,
        deadline=0.7,
        timeout=0.7,
        priority=1,
    ),
)


def day(services, kinds, name, load, *events, seconds=24.0):
    """Returns a day."""
    return deployments.Day(
        name=name,
        services=services,
        kinds=kinds,
        events=events,
        load=load,
        seconds=seconds,
    )


def crews(name, load, *events, **more):
    """Returns a day of the crew desk."""
    return day(CREWS, CREW_KINDS, name, load, *events, **more)


def shops(name, load, *events, **more):
    """Returns a day of the shops."""
    return day(SHOPS, SHOP_KINDS, name, load, *events, **more)


def bulletins(name, load, *events, **more):
    """Returns a day of the bulletins: three hops, eight calls at the last."""
    return day(BULLETINS, BULLETIN_KINDS, name, load, *events, **more)


def event(kind, at, seconds, strength=1.0, service="", hosts=0):
    """Returns a trouble."""
    return Event(
        kind=kind,
        at=at,
        seconds=seconds,
        strength=strength,
        service=service,
        hosts=hosts,
    )


DAYS = {
    made.name: made
    for made in (
        crews("crews-calm", 0.6),
        crews(
            "crews-burst",
            1.36,
            event(Trouble.BURST, 0.3, 20.0, 1.6),
            event(Trouble.DOWN, 1.5, 4.5, service="allotments", hosts=1),
        ),
        crews(
            "crews-grey",
            1.36,
            event(Trouble.BURST, 0.3, 20.0, 1.6),
            event(Trouble.SHED, 8.0, 8.5, 0.55, service="allotments"),
        ),
        crews("crews-flood", 1.36, event(Trouble.BURST, 2.0, 10.0, 2.8)),
        crews(
            "crews-slow",
            1.0,
            event(Trouble.SLOW, 4.0, 9.0, 12.0, service="placement", hosts=1),
            event(Trouble.SLOW, 4.0, 9.0, 12.0, service="allotments", hosts=1),
            event(Trouble.LOST, 4.0, 6.0, 0.3, service="roster", hosts=2),
            event(Trouble.LOST, 4.0, 6.0, 0.3, service="documents", hosts=2),
        ),
        bulletins("bulletins-calm", 0.7, seconds=12.0),
        bulletins(
            "bulletins-burst",
            1.0,
            event(Trouble.BURST, 1.0, 14.0, 1.7),
            seconds=18.0,
        ),
        shops(
            "shops-limited",
            0.7,
            event(Trouble.LIMIT, 3.0, 10.0, 18.0, service="catalogue", hosts=1),
            event(Trouble.LIMIT, 5.0, 9.0, 30.0, service="quotes", hosts=1),
        ),
        crews(
            "crews-limited",
            1.0,
            event(Trouble.LIMIT, 3.0, 12.0, 25.0, service="roster", hosts=2),
            event(Trouble.LIMIT, 5.0, 9.0, 60.0, service="allotments", hosts=1),
        ),
        shops(
            "shops-limited-all",
            0.9,
            event(Trouble.LIMIT, 3.0, 10.0, 25.0, service="catalogue"),
        ),
        shops(
            "shops-limited-few",
            0.9,
            event(Trouble.LIMIT, 3.0, 10.0, 6.0, service="catalogue", hosts=1),
            event(Trouble.LIMIT, 3.0, 10.0, 8.0, service="quotes", hosts=1),
        ),
        bulletins(
            "bulletins-limited",
            0.9,
            event(Trouble.LIMIT, 3.0, 10.0, 8.0, hosts=1),
            seconds=16.0,
        ),
        shops("shops-burst", 0.9, event(Trouble.BURST, 3.0, 10.0, 1.8)),
        shops(
            "shops-grey",
            0.8,
            event(Trouble.SHED, 5.0, 6.0, 0.4, service="stock"),
            event(Trouble.DOWN, 14.0, 3.0, service="quotes", hosts=1),
        ),
    )
}
