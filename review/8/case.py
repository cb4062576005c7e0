"""A heartbeat of another writer, with a service that is not named here, bears the address of a runner. The runner
then says that it drains. Requests that reach it later than DrainMs after the acknowledgement break DRAIN."""
import asyncio
import json
import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "lib2"))
import fleet as lab  # noqa: E402

DRAIN_S = lab.BOUNDS["DrainMs"] / 1000
LINGER_S = 8.0


async def other_writer(fleet, address):
    """Another writer's entry for the program at `address`: all fields are there, the service is not named here."""
    born, sequence = int(time.time() * 1000), 0
    while True:
        sequence += 1
        body = {"Service": "archive", "Address": f"{address[0]}:{address[1]}", "Zone": "north", "Version": "v1",
                "Slots": 6, "State": "ready", "ColdRemainingMs": 0, "Stage": "combined", "Models": [],
                "Sequence": sequence, "born": born}
        control = fleet.controls[0]
        status, _, _ = await lab.call((control.ip, lab.CONTROL), "POST", "/instances/x-archive-1/heartbeat",
                                      {"Content-Type": "application/json"}, json.dumps(body), 1.0)
        fleet.record(f"other writer: x-archive-1 (archive) at {address[0]}:{address[1]}, born {born}: {control.name} answers {status}")
        await asyncio.sleep(lab.HEARTBEAT_MS / 1000)


async def load(fleet, client):
    number = 0
    while True:
        entry = fleet.entries[number % len(fleet.entries)]
        fleet.spawn(client.request(entry, "POST", f"/orders/{number}", body="{}"))
        number += 1
        await asyncio.sleep(0.05)


async def case(record, trouble):
    fleet = lab.Fleet(record, entries=2)
    try:
        fleet.start()
        await fleet.operate("/config/put", lab.plain_config(
            1, [lab.route("orders", "/orders/", "unsafe", "desk", attempts=1)], [lab.service("desk")]))
        leaving = lab.Runner(fleet, "i-leaving", "desk", 9101)
        staying = lab.Runner(fleet, "i-staying", "desk", 9102)
        for runner in (leaving, staying):
            await runner.start()
        await fleet.wait_ready()
        await asyncio.sleep(2)
        client = lab.Client(fleet)
        fleet.spawn(load(fleet, client))
        await asyncio.sleep(5)
        if trouble:
            fleet.spawn(other_writer(fleet, leaving.address))
        await asyncio.sleep(3)
        # The runner says that it drains, goes on for some seconds, says that it is gone, and ends.
        leaving.state = "draining"
        acknowledged = None
        while acknowledged is None:
            acknowledged = await leaving.beat()
        record(f"i-leaving: draining is acknowledged at {acknowledged:.3f}")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        await leaving.deregister()
        await asyncio.sleep(1.0)
        leaving.crash()
        await asyncio.sleep(1.0)
        late = [arrival for arrival in leaving.arrivals if arrival[0] > acknowledged + DRAIN_S]
        served = sum(1 for _, status in client.answers if status == 200)
        record(f"{len(leaving.arrivals)} requests reach i-leaving, {len(staying.arrivals)} i-staying; {served} answers with 200")
        for arrival in late:
            record(f"late at i-leaving: {arrival[1]} at {arrival[0]:.3f}, {arrival[0] - acknowledged:.3f} s after the acknowledgement")
        if not staying.arrivals or served == 0:
            raise lab.CannotRun("nothing was served")
        return not late
    finally:
        await fleet.stop()


lab.main(FOLDER, case)
