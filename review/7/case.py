"""A bulk call hangs, some of its messages time out, and its relay is cut off from the others: another relay calls an
endpoint with a message that is still out on the first relay's open connection."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from copying import three_relays, wait_until_copied
from standins import Client, main, trouble

WAY_S = 0.03    # from one relay to another
HANG_S = 8.0    # of the site's [7.3, 22]
CUT_AFTER_S = 1.9
CUT_S = 4.0     # the page's partition lasts 6 s
ROUNDS = 1
OPEN_FOR_S = 0.15  # that the earlier call's connection stays open behind the arrival of the later call


async def case(world):
    relays, hosts, wire = await three_relays(world, WAY_S)
    loop = asyncio.get_running_loop()
    hanging = set()
    calls = {}    # id -> [(writer of the call's connection, endpoint, via)] of calls that are out
    broken = []

    async def look(ident, earlier, later):
        await asyncio.sleep(OPEN_FOR_S)
        if earlier in calls.get(ident, []):
            broken.append(f"{ident}: out at {earlier[1]} ({earlier[2]}) on an open connection, and called again at "
                          f"{later[1]} ({later[2]})")

    async def behave(endpoint, items, headers, reader, writer):
        world.on_call(endpoint, items, headers)
        call = (writer, endpoint.ident, headers.get("via", "-"))
        for ident, _ in items:
            for earlier in calls.get(ident, []):
                asyncio.ensure_future(look(ident, earlier, call))
            calls.setdefault(ident, []).append(call)
        try:
            if endpoint.ident in hanging:  # hangs in the middle of its work, until the relay closes the connection
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

    async def hand_in(ident, cls, timeout_ms):
        await client.hand_in(ident, cls, 1, timeout_ms, b"work " + ident.encode())

    async def some(prefix, count):
        await asyncio.gather(*[hand_in(f"{prefix}{n:013x}", cls, ms) for n, (cls, ms) in
                               enumerate([("status-update", 8000), ("collection", 16000)] * count)])

    for n in range(5):  # a partner that is known, and works
        await some(f"0{n:02x}", 3)
        await asyncio.sleep(0.3)
    for n in range(ROUNDS):
        if trouble():
            hanging.update(host.ident for host in hosts if host.cell == 1)
            world.record.add("hang", seconds=HANG_S)
        begin = loop.time()
        await some(f"1{n:02x}", 4)
        await asyncio.sleep(begin + CUT_AFTER_S - loop.time())
        if trouble():
            wire.cut.add("n0")
            world.record.add("cut_off", relay="n0", seconds=CUT_S)
        await asyncio.sleep(CUT_S)
        wire.cut.clear()
        world.record.add("cut_over")
        await asyncio.sleep(begin + HANG_S - loop.time())
        hanging.clear()
        world.record.add("hang_over")
        await asyncio.sleep(12 if n + 1 < ROUNDS else 2)
    taken = sum(status == 202 for _, status in world.answers.values())
    print(f"taken={taken} calls={len(world.calls)}")
    if taken < 30:
        raise RuntimeError("too little was taken on to judge")
    return broken


main(case, HERE)
