"""A stand-in for a model runner: orders for adapters, reports, and streams of events."""
import asyncio
import json

import fleet as lab

MODEL = "m0"


def engine_service(name, slots=64, adapter_slots=6):
    return {**lab.service(name, 370), "Engine": {
        "Slots": slots, "KvCacheTokens": 154090, "KvTokenBytes": 131072, "LinkMbps": 1100000.0, "Moves": False,
        "Backups": False, "Stride": 5, "MaxCount": 12, "HostMb": 61000.0, "DiskMb": 180000.0, "PinMs": 4000.0,
        "HoldMs": 2000.0, "handle_s": 5.0, "WeightsMb": 36000.0, "AdapterSlots": adapter_slots, "LoadsPerS": 2.9,
        "Models": [{"Name": MODEL, "WeightsMb": 34300.0, "LoadS": 1.0, "Adapters": 3000, "AdapterMb": 40.0,
                    "WarmS": 0.28, "DiskS": 0.4}]}}


class Engine(lab.Runner):
    """Holds one base model and some adapters. Fencing tokens are checked only if `checks_fences`."""

    def __init__(self, *given, adapter_slots=6, load_s=0.25, events=10, pause_s=0.05, checks_fences=True, **named):
        super().__init__(*given, slots=64, queue=192, **named)
        self.adapter_slots, self.load_s, self.events, self.pause_s = adapter_slots, load_s, events, pause_s
        self.checks_fences = checks_fences
        self.accepted = 0
        self.adapters = {}
        self.coming = {}
        self.highest = 0
        self.orders = []

    def description(self):
        models = [{"Name": MODEL, "Version": 1, "Adapters": [f"{name}@{v}" for name, v in self.adapters.items()]}]
        return {**super().description(), "Models": models}

    async def answer(self, writer, method, path, headers, body):
        common = {"Instance-Id": self.name, "Server-Load": self.load()}
        if headers.get("expect-instance", self.name) == self.name:
            if path == "/order":
                status, text = self.order(json.loads(body))
                return await self.write(writer, status, common, json.dumps(text).encode())
            if path == "/report":
                report = {"Stage": "combined", "Models": self.description()["Models"], "Busy": False,
                          "Sequence": self.accepted, "Queued": self.waiting, "Running": self.running, "KvUsed": 0,
                          "KvTotal": 154090, "Handles": 0, "State": self.state,
                          "Coming": [f"{MODEL}/{name}@{v}" for name, v in self.coming.items()]}
                return await self.write(writer, 200, common, json.dumps(report).encode())
        await super().answer(writer, method, path, headers, body)

    def order(self, order):
        now = self.fleet.record.now()
        holder, token = order["Holder"], order["FencingToken"]
        status = self.decide(order)
        self.orders.append((now, holder, token, status))
        self.fleet.record(f"{self.name}: order {order['Operation']} {order.get('Adapter')} of {holder}, token {token}, "
                          f"Expected {order.get('Expected')}: {status}")
        return status, {}

    def decide(self, order):
        if self.checks_fences and order["FencingToken"] < self.highest:
            return 412
        self.highest = max(self.highest, order["FencingToken"])
        adapter = order.get("Adapter")
        if adapter is None:
            return 200
        if order.get("Expected", self.accepted) != self.accepted:
            return 409
        if order["Operation"] == "load":
            if adapter in self.adapters or adapter in self.coming:
                return 200
            self.accepted += 1
            self.coming[adapter] = order.get("Version", 1)
            self.fleet.spawn(self.load_adapter(adapter))
            return 202
        if adapter not in self.adapters:
            return 200
        self.accepted += 1
        del self.adapters[adapter]
        return 202

    async def load_adapter(self, adapter):
        await asyncio.sleep(self.load_s)
        version = self.coming.pop(adapter, None)
        if version is not None:
            self.adapters[adapter] = version

    async def run(self, writer, method, path, headers, body, request_id, common):
        model = headers.get("model", MODEL)
        adapter = model.partition("/")[2]
        if adapter and adapter not in self.adapters:
            return await self.write(writer, 421, common)
        self.running += 1
        try:
            self.fleet.record(f"{self.name}: {request_id} runs")
            await self.stream(writer, request_id, common, int(headers.get("last-event-id", "0")))
        finally:
            self.running = max(0, self.running - 1)

    async def stream(self, writer, request_id, common, after):
        lines = ["HTTP/1.1 200 OK", "Content-Type: text/event-stream", "Transfer-Encoding: chunked",
                 "Weight-Versions: 1", f"Response-Signature: s.{self.name}.{request_id}"]
        lines += [f"{name}: {value}" for name, value in common.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        for number in range(after + 1, self.events + 1):
            await asyncio.sleep(self.pause_s)
            event = f"id: {number}\ndata: piece {number}\n\n".encode()
            writer.write(b"%x\r\n%s\r\n" % (len(event), event))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
