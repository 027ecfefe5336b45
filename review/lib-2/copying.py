"""Three relays that hold copies for each other (docs/copies.md, docs/fleet.md), with the network between them."""
import asyncio

from standins import Client, Endpoint, Platform, Relay, Wire, World


async def three_relays(world, way, endpoints=4):
    names = ["n0", "n1", "n2"]
    places = {name: (world.ip(10 + i), world.ip(110 + i)) for i, name in enumerate(names)}
    wire = Wire(world, places, [7300, 7301], way)
    await wire.start(7300)
    hosts = []
    for i in range(endpoints):
        host = Endpoint(world, world.ip(200), f"s-{i}", 1 + i // 2, "processor", "room-a" if i % 2 else "room-b")
        await host.start()
        hosts.append(host)
    relays = []
    for name in names:
        own, reached = places[name]
        platform = Platform(world, own, name)
        await platform.start()
        for host in hosts:
            platform.entries[host.ident] = host.entry()
        relay = Relay(world, name, own, platform, {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 8})
        relay.extra = {
            "fleet": {"name": "review", "bind": f"{own}:7300", "advertise": f"{reached}:7300", "machine": f"m-{name}",
                      "seeds": [f"{r}:7300" for _, r in places.values()]},
            "copies": {"bind": f"{own}:7301", "advertise": f"{reached}:7301", "copies": 1},
        }
        relays.append(relay)
        world.relays.append(relay)
    for relay in relays:
        relay.start()
    for relay in relays:
        if not await relay.ready():
            raise RuntimeError(f"{relay.name} is not ready")
    return relays, hosts, wire


async def wait_until_copied(world, relays, within=25):
    """Waits until each relay takes messages on, that is, until others hold its copies."""
    for relay in relays:
        client = Client(world, relay.address)
        for n in range(int(within / 0.1)):
            status, _ = await client.hand_in(f"warm-{relay.name}-{n:04d}", "status-update", 1, 8000, b"warm")
            if status == 202:
                break
            await asyncio.sleep(0.1)
        else:
            raise RuntimeError(f"{relay.name} takes nothing on")
