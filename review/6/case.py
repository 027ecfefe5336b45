"""A relay is cut off from the others for 4 s. What it refused meanwhile is run by another relay, and once more when
its client, told that this is harmless, hands it in again."""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from copying import three_relays, wait_until_copied
from standins import Client, main, trouble

WAY_S = 0.03       # from one relay to another
CUT_S = 4.0        # the page's partition lasts 6 s
REQUESTS_PER_S = 40
TIME_S = 16.0      # of a `collection`


async def case(world):
    relays, _, wire = await three_relays(world, WAY_S)
    await wait_until_copied(world, relays)
    await asyncio.sleep(1)
    loop = asyncio.get_running_loop()
    client = Client(world, relays[0].address)
    refused = {}  # work -> ids that were answered 429 or 503

    async def work(number):
        name = f"work-{number:04d}".encode()
        end = loop.time() + TIME_S
        retried = None
        for turn in range(10):
            left_ms = int((end - loop.time()) * 1000)
            if left_ms < 500:
                return
            ident = f"{number:012x}{turn:04x}"
            status, headers = await client.hand_in(ident, "collection", 1 + number % 2, left_ms, name, retried)
            if status not in (429, 503):
                return  # taken on, failed, or no answer: it is not handed in again
            refused.setdefault(name, []).append(ident)
            retried = "1"
            await asyncio.sleep(float(headers.get("retry-after", "0.5")))

    def heal():
        wire.cut.clear()
        world.record.add("cut_over")

    tasks, begin, cut = [], loop.time(), False
    while loop.time() - begin < 4:
        if trouble() and not cut and loop.time() - begin > 1.5:
            cut = True
            wire.cut.add("n0")
            world.record.add("cut_off", relay="n0", seconds=CUT_S)
            loop.call_later(CUT_S, heal)
        tasks.append(asyncio.ensure_future(work(len(tasks))))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    await asyncio.sleep(3)

    broken = []
    runs = {}
    for _, ident, _, body in world.calls:
        if ident in world.delivered:
            runs.setdefault(body, set()).add(ident)
    for name, ids in sorted(runs.items()):
        again = [i for i in ids if i in refused.get(name, [])]
        if len(ids) > 1 and again:
            broken.append(f"{name.decode()}, which may not be repeated, was run {len(ids)} times: {sorted(ids)}; "
                          f"refused before: {sorted(again)}")
    print(f"works={len(tasks)} refusals={sum(map(len, refused.values()))} run={len(runs)}")
    if len(runs) < len(tasks) / 2:
        raise RuntimeError("too little was delivered to judge")
    return broken


main(case, HERE)
