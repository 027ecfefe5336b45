"""A relay's machine is cut off twice, for 1.3 s each. What the relay refused then is run by another relay, and once more
when its client, told that this is harmless, hands it in again."""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(HERE, "..", "lib-2"))
from copying import cut_off, three_relays, wait_until_copied
from standins import Client, main, trouble

WAY_S = 0.03         # one way, within a room: the site's same_ms = [15, 45]
CUT_S = 1.3          # the page's partition lasts 6 s
CUTS = (3.0, 14.0)   # "two cuts", a little later each, by chance
HAND_IN_S = 20.0
REQUESTS_PER_S = 40  # "some tens of requests a second at most"
CLASSES = {"status-update": 8.0, "collection": 16.0}  # with their deadlines
MOST_TRIES = 1 + 2   # "up to 2 times, after a wait"


async def case(world):
    # "Their settings may give a class another effect than the site does" (STANDING, the brink days).
    relays, _, wire = await three_relays(world, WAY_S, 2, {"status-update": "at_most_once"})
    await wait_until_copied(world, relays)
    await asyncio.sleep(1)
    loop = asyncio.get_running_loop()
    client = Client(world, relays[0].address)
    refused = {}  # work -> ids that were answered 429 or 503

    async def work(number):
        name = f"work-{number:04d}".encode()
        cls = "collection" if number * 23 % 100 < 23 else "status-update"
        end = loop.time() + CLASSES[cls]
        for turn in range(MOST_TRIES):
            left_ms = int((end - loop.time()) * 1000)
            if left_ms < 500:
                return
            ident = f"{number:012x}{turn:04x}"
            status, headers = await client.hand_in(ident, cls, 1 + number % 2, left_ms, name, "1" if turn else None)
            if status not in (429, 503):
                return  # taken on, failed, or no answer: it is not handed in again
            refused.setdefault(name, []).append(ident)
            await asyncio.sleep(min(3.0, float(headers.get("retry-after", "1"))))

    begin = loop.time()
    if trouble():
        for at in CUTS:
            loop.call_later(at + random.uniform(0, 0.5), cut_off, world, wire, CUT_S)
    tasks = []
    while loop.time() - begin < HAND_IN_S:
        tasks.append(asyncio.ensure_future(work(len(tasks))))
        await asyncio.sleep(begin + len(tasks) / REQUESTS_PER_S - loop.time())
    await asyncio.gather(*tasks)
    await asyncio.sleep(4)

    runs = {}
    for _, ident, _, body in world.calls:
        if ident in world.delivered:
            runs.setdefault(body, set()).add(ident)
    broken = []
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
