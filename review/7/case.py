"""A bulk call hangs, some of its messages time out, and its relay's machine is cut off: another relay calls an endpoint
with a message that is still out on the first relay's open connection."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from copying import cut_off, three_relays, wait_until_copied
from standins import Client, main, trouble

WAY_S = 0.03         # one way, within a room: the site's same_ms = [15, 45]
PARTNERS = 4
REQUESTS_PER_S = 20  # in turn for the four partners; for the first one that hangs, a clump of 8 besides
HANG_S = 8.0         # the site's [7.3, 22], for a partner with up to 28% of the traffic
CLUMP = ["status-update"] * 6 + ["collection"] * 2
CUT_AFTER_S = 1.9
CUT_S = 3.0          # the page's partition lasts 6 s
LENGTH_S = 18.0
OPEN_FOR_S = 0.15    # that the earlier call has to stay out behind the arrival of the later one
CLASSES = {"status-update": 8000, "collection": 16000}


async def case(world):
    relays, hosts, wire = await three_relays(world, WAY_S, PARTNERS)
    loop = asyncio.get_running_loop()
    hanging = set()
    calls = {}  # id -> calls that are out
    broken = []

    def is_out(ident, call):
        """The call has no answer, and its connection is open at both ends: what a relay has closed doesn't count, even if
        the endpoint can't hear of it."""
        link = wire.links.get(call[0].get_extra_info("peername"))
        return call in calls.get(ident, []) and not (link and link.relay_ended)

    async def look(ident, earlier, later):
        await asyncio.sleep(OPEN_FOR_S)
        if is_out(ident, earlier):
            broken.append(f"{ident}: out at {earlier[1]} ({earlier[2]}) on an open connection, and called again at "
                          f"{later[1]} ({later[2]})")

    async def behave(endpoint, items, headers, reader, writer):
        world.on_call(endpoint, items, headers)
        call = (writer, endpoint.ident, headers.get("via", "-"))
        for ident, _ in items:
            for earlier in calls.get(ident, []):
                if is_out(ident, earlier):
                    asyncio.ensure_future(look(ident, earlier, call))
            calls.setdefault(ident, []).append(call)
        try:
            if endpoint.ident in hanging:  # takes the call and answers none, until its connection ends
                try:
                    await reader.read(1)
                except ConnectionError:
                    pass
                world.record.add("connection_ended", endpoint=endpoint.ident, via=call[2].replace(" ", "_"),
                                 ids=",".join(i for i, _ in items))
                return None
            await asyncio.sleep(endpoint.work)
            return 200, {}
        finally:
            for ident, _ in items:
                calls[ident].remove(call)

    for host in hosts:
        host.behaviour = behave
    await wait_until_copied(world, relays)
    client = Client(world, relays[0].address)
    tasks = []

    def hand_in(cls, partner):
        ident = f"{len(tasks):016x}"
        tasks.append(asyncio.ensure_future(client.hand_in(ident, cls, partner, CLASSES[cls], b"work " + ident.encode())))

    def clump():
        for cls in CLUMP:
            hand_in(cls, 1)

    def hang():
        hanging.update(host.ident for host in hosts if host.cell == 1)
        world.record.add("hang", partner=1, seconds=HANG_S)
        loop.call_later(HANG_S, lambda: (hanging.clear(), world.record.add("hang_over")))

    begin = loop.time()
    loop.call_later(4.0, clump)
    if trouble():
        loop.call_later(4.0, hang)
        loop.call_later(4.0 + CUT_AFTER_S, cut_off, world, wire, CUT_S)
    number = 0
    while loop.time() - begin < LENGTH_S:
        hand_in("collection" if number * 23 % 100 < 23 else "status-update", 1 + number % PARTNERS)
        number += 1
        await asyncio.sleep(begin + number / REQUESTS_PER_S - loop.time())
    await asyncio.gather(*tasks)
    await asyncio.sleep(6)
    taken = sum(status == 202 for _, status in world.answers.values())
    print(f"handed_in={len(tasks)} taken={taken} delivered={len(world.delivered)}")
    if taken < len(tasks) / 2:
        raise RuntimeError("too little was taken on to judge")
    return broken


main(case, HERE)
