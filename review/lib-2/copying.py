"""Three relays that hold copies for each other (docs/copies.md, docs/fleet.md), with the network between them. The first
one's machine may be cut off: from the other relays and from all endpoints. Its clients and its agent are on it."""
import asyncio

from standins import Client, Endpoint, Platform, Relay, Wire, common_free_ports, endpoint_address


async def three_relays(world, way, partners, effects=None):
    names = ["n0", "n1", "n2"]
    places = {name: (world.ip(10 + i), world.ip(110 + i)) for i, name in enumerate(names)}
    fleet, copies = common_free_ports([ip for place in places.values() for ip in place], 2)
    wire = Wire(world, places, [fleet, copies], way)
    await wire.start(fleet)
    hosts, from_n0 = [], {}
    for i in range(2 * partners):
        host = Endpoint(world, world.ip(200), f"s-{i}", 1 + i // 2, "processor", "room-a" if i % 2 else "room-b")
        await host.start()
        from_n0[host.ident] = await endpoint_address(wire, "n0", world.ip(201), host)
        hosts.append(host)
    relays = []
    for name in names:
        own, reached = places[name]
        platform = Platform(world, own, name)
        await platform.start()
        for host in hosts:
            platform.entries[host.ident] = host.entry()
            if name == "n0":  # "`addr` may vary from one relay to the next" (PROTOCOL, Discovery)
                platform.entries[host.ident]["addr"] = from_n0[host.ident]
        relay = Relay(world, name, own, platform, {"cores": 1.0, "memory_mb": 192, "sockets": 1024, "disk_mb": 3})
        for settings in relay.settings["classes"]:
            settings["idempotency"] = (effects or {}).get(settings["name"], settings["idempotency"])
        relay.extra = {
            "fleet": {"name": "review", "bind": f"{own}:{fleet}", "advertise": f"{reached}:{fleet}",
                      "machine": f"m-{name}", "seeds": [f"{r}:{fleet}" for _, r in places.values()]},
            "copies": {"bind": f"{own}:{copies}", "advertise": f"{reached}:{copies}", "copies": 1},
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
        for n in range(int(within / 0.5)):
            status, _ = await client.hand_in(f"warm-{relay.name}-{n:04d}", "status-update", 1, 8000, b"warm")
            if status == 202:
                break
            await asyncio.sleep(0.5)
        else:
            raise RuntimeError(f"{relay.name} takes nothing on")


def cut_off(world, wire, seconds):
    """Cuts off the machine of n0 from now on: nothing is said, and open connections stay open and silent."""
    wire.cut.add("n0")
    world.record.add("cut_off", relay="n0", seconds=seconds)

    def over():
        wire.cut.clear()
        world.record.add("cut_over", relay="n0")

    asyncio.get_running_loop().call_later(seconds, over)
