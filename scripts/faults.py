"""Fault injection of `scripts/measure faults` into a running deployment, and its measurements.

Load runs while VMs are restarted, killed and suspended and an engine is killed. Orders and jobs are
also sent one by one before and after a kill. Run counts come from the counters of the services.
"""

import concurrent.futures
import hashlib
import http.client
import json
import time
import zlib

import fleet as fleets

CRASH_MARKER = "#crash#"
# Longer than `restart_ms` of the simulated engine.
ENGINE_RESTART_S = 1.5
# Long enough to kill a VM between the dispatch of an order and its answer.
SERVICE_DELAY_MS = 40
CONCURRENT_VMS = 3
ABANDON_MS = 20
# Longer than the time after which an unresponsive process counts as failed, so that the resumed VM
# finds its leases expired and its orders abandoned.
SUSPEND_S = 11.0
DRAIN_MS = 10_000
STOP_TIMEOUT_S = 15
ORDERS_PER_KILL = 3
RESEND_TIMEOUT_S = 2.5
JOB_DEADLINE_S = 25.0
GIVE_UP_MS = 12_000
PATIENT_DEADLINE_MS = 20_000
BASELINE_S = 5
RESTART_LOAD_S = 24
FAULT_LOAD_S = 15


class Reply:
    """A response; `status` is None if there was none."""

    def __init__(self, status=None, body=None):
        self.status = status
        self.body = body if isinstance(body, dict) else {}

    @property
    def run(self):
        return self.body.get("error", {}).get("run")


def call(fleet, vm, method, path, key, body=None, headers=None, timeout_s=8.0):
    """Sends one request to one VM without retries."""
    connection = http.client.HTTPConnection(fleets.HOST, fleet.port(fleets.CALLER, vm), timeout_s)
    try:
        connection.request(method, path, None if body is None else json.dumps(body),
                           {"authorization": f"Bearer {key}", "content-type": "application/json",
                            **(headers or {})})
        response = connection.getresponse()
        data = response.read()
        return Reply(response.status, json.loads(data) if data else {})
    except (OSError, ValueError, http.client.HTTPException):
        return Reply()
    finally:
        connection.close()


def send_order(fleet, vm, key, name):
    path = f"/services/{fleets.SERVICE}/orders"
    return call(fleet, vm, "POST", path, key, {"order": name}, {"idempotency-key": name})


def order_id(account, idempotency_key):
    key_hash = hashlib.sha256(idempotency_key.encode()).hexdigest()
    return hashlib.sha256(f"{account}\0{key_hash}".encode()).hexdigest()


def order_runs(counts):
    """Returns the number of runs of each order id over all services."""
    runs = {}
    for name, entries in counts.items():
        if name.startswith("service"):
            for entry in entries:
                for order, number in entry.get("runs_by_order", {}).items():
                    runs[order] = runs.get(order, 0) + number
    return runs


def restart_vm(fleet, index):
    fleet.terminate(fleet.vms[index]["vm"], STOP_TIMEOUT_S)
    fleet.start_vm(index)
    fleet.wait_ready()


def rolling_restart(fleet, callers):
    """Restarts all VMs one after another; returns how many restarts ended under load."""
    under_load = 0
    for index in range(len(fleet.vms)):
        restart_vm(fleet, index)
        under_load += callers.process.poll() is None
    return under_load


def resend_order(fleet, vm, key, name):
    """Resends an order until it succeeds or RESEND_TIMEOUT_S has passed; returns the last reply."""
    deadline = time.monotonic() + RESEND_TIMEOUT_S
    while True:
        reply = send_order(fleet, vm, key, name)
        if reply.status == 200 or time.monotonic() > deadline:
            return reply
        time.sleep(0.3)


def kill_during_orders(fleet, account, key, vm, suspended):
    """Kills `vm` while it has open orders and resends them to VMs other than the suspended one.

    Returns the number of connections lost, and the id and last reply of each order.
    """
    names = [f"kill-{vm}-{number}" for number in range(ORDERS_PER_KILL)]
    with concurrent.futures.ThreadPoolExecutor(ORDERS_PER_KILL) as pool:
        sending = [pool.submit(send_order, fleet, vm, key, name) for name in names]
        # The commit of the intent takes a few milliseconds, less than the service.
        time.sleep(SERVICE_DELAY_MS / 2_000)
        fleet.kill(fleet.vms[vm]["vm"])
        lost = sum(future.result().status is None for future in sending)
    others = [other for other in range(len(fleet.vms)) if other not in (vm, suspended)
              and fleet.vms[other]["vm"] in fleet.processes]
    targets = others[:ORDERS_PER_KILL]
    with concurrent.futures.ThreadPoolExecutor(ORDERS_PER_KILL) as pool:
        replies = pool.map(lambda target, name: resend_order(fleet, target, key, name),
                           targets, names)
        last = [(order_id(account, name), reply) for name, reply in zip(names, replies)]
    return lost, last


def submit_job(fleet, vm, key, name, deadline_s):
    body = {"model": f"{fleets.BASE}:a00001@1", "prompt": f"job {name}", "max_tokens": 400}
    headers = {"idempotency-key": name,
               "x-deadline-unix-ms": str(int((time.time() + deadline_s) * 1_000))}
    reply = call(fleet, vm, "POST", "/v1/jobs", key, body, headers)
    return reply.body.get("id")


def job_status(fleet, vm, key, job):
    return call(fleet, vm, "GET", f"/v1/jobs/{job}", key).body.get("status")


def job_name_run_by(fleet, account, vm, prefix):
    """Returns an idempotency key whose job id hashes to `vm`, which then claims the job first."""
    names = sorted(entry["vm"] for entry in fleet.vms)
    number = 0
    while True:
        name = f"{prefix}-{number}"
        job = "job-" + hashlib.sha256(f"{account}\0{name}".encode()).hexdigest()[:32]
        if names[zlib.crc32(job.encode()) % len(names)] == fleet.vms[vm]["vm"]:
            return name
        number += 1


def follow_job(fleet, vm, key, job, limit_s):
    """Polls a job until it is final; returns its status and the time of the last poll."""
    deadline = time.monotonic() + limit_s
    status = None
    while time.monotonic() < deadline:
        status = job_status(fleet, vm, key, job)
        if status not in (None, "queued", "running"):
            return status, time.time()
        time.sleep(0.1)
    return status, time.time()


def check_killed_jobs(fleet, key, long, short):
    """Polls both jobs of a killed VM through VMs without faults until they have ended."""
    status, _ = follow_job(fleet, 7, key, long, JOB_DEADLINE_S + 5)
    result = call(fleet, 8, "GET", f"/v1/jobs/{long}/result", key)
    short_status, short_at = follow_job(fleet, 7, key, short["id"], 25)
    return {
        "killed_job_status": status, "killed_job_result_status": result.status,
        "short_job_status": short_status,
        "short_job_final_after_deadline_ms": round((short_at - short["deadline"]) * 1_000),
    }


def overdue_job(fleet, account, key, suspended):
    """Measures the time from the deadline to the final state of a job queued for a suspended VM."""
    name = job_name_run_by(fleet, account, suspended, "queued")
    # Other VMs do not claim a new job of its preferred VM for one second.
    deadline = time.time() + 0.8
    job = submit_job(fleet, 8, key, name, 0.8)
    status, at = follow_job(fleet, 7, key, job, 12)
    return {"queued_job_status": status,
            "queued_job_final_after_deadline_ms": round((at - deadline) * 1_000)}


def cancelled_job(fleet, key):
    """Submits a job to one VM, cancels it through a second and reads its status from a third."""
    job = submit_job(fleet, 0, key, "cancel-me", JOB_DEADLINE_S)
    call(fleet, 4, "DELETE", f"/v1/jobs/{job}", key)
    return follow_job(fleet, 8, key, job, 3)[0]


def send_crash_marker(fleet, vm, key, text):
    body = {"model": f"{fleets.BASE}:a00002@1", "prompt": f"{text} {CRASH_MARKER}",
            "max_tokens": 8}
    headers = {"x-deadline-unix-ms": str(int((time.time() + 6) * 1_000))}
    return call(fleet, vm, "POST", "/v1/completions", key, body, headers)


def count_crashes(fleet):
    """Returns the crashes of all engines.

    Waits for the restart of crashed engines first, since a crashed engine does not respond.
    """
    time.sleep(ENGINE_RESTART_S)
    return fleets.total(fleet.all_counts(), "engine", "crashes")


def crash_by_marker(fleet, key):
    """Returns the engine crashes caused by two requests with the crash marker.

    The first request is resent from VM to VM, the second is sent to three VMs concurrently.
    """
    before = count_crashes(fleet)
    for vm in (0, 3, 6, 1):
        send_crash_marker(fleet, vm, key, "resent")
    between = count_crashes(fleet)
    with concurrent.futures.ThreadPoolExecutor(CONCURRENT_VMS) as pool:
        list(pool.map(lambda vm: send_crash_marker(fleet, vm, key, "together"), (0, 3, 6)))
    send_crash_marker(fleet, 2, key, "together")
    return between - before, count_crashes(fleet) - between


def inject(fleet, account, key):
    """Kills the log leader, suspends a VM, kills an engine and a VM with open orders and jobs."""
    leader = fleet.leader()
    suspended = next(vm for vm in (1, 4) if vm != leader)
    killed = 5
    long_name = job_name_run_by(fleet, account, killed, "long")
    short_name = job_name_run_by(fleet, account, killed, "short")
    fleet.suspend(fleet.vms[suspended]["vm"])
    resume_at = time.monotonic() + SUSPEND_S
    try:
        overdue = overdue_job(fleet, account, key, suspended)
        long = submit_job(fleet, 8, key, long_name, JOB_DEADLINE_S)
        short = {"deadline": time.time() + 3, "id": submit_job(fleet, 8, key, short_name, 3)}
        time.sleep(0.6)
        lost, orders = kill_during_orders(fleet, account, key, killed, suspended)
        fleet.kill("engine8")
        lost_to_leader, more = kill_during_orders(fleet, account, key, leader, suspended)
        time.sleep(max(0.0, resume_at - time.monotonic()))
    finally:
        fleet.resume(fleet.vms[suspended]["vm"])
    jobs = check_killed_jobs(fleet, key, long, short)
    # A restarted engine has no adapters.
    fleet.start_engine(7)
    fleet.start_vm(killed)
    fleet.start_vm(leader)
    fleet.wait_ready()
    return {**overdue, **jobs}, lost + lost_to_leader, orders + more


class PhaseTimer:
    """Wall time of each phase of the run."""

    def __init__(self):
        self.seconds = {}
        self.since = time.monotonic()

    def end(self, name):
        now = time.monotonic()
        self.seconds[name] = round(now - self.since, 1)
        self.since = now


def latency(report):
    return {
        kind: {"p50_ms": entry["first_token_p50_ms"], "p99_ms": entry["first_token_p99_ms"],
               "answered": entry["answered"]}
        for kind, entry in report["classes"].items() if kind in ("order", "lookup")
    }


def false_not_run(runs, reports, sent):
    """Returns the number of orders whose last reply was `not_run` although a service ran them."""
    refused = [order for report in reports for order in report["orders_not_run"]]
    refused += [order for order, reply in sent if reply.run == "not_run"]
    return sum(runs.get(order, 0) > 0 for order in refused)


def run(fleet, settings, account, key):
    """Injects all faults and returns the measurements."""
    timer = PhaseTimer()
    baseline = fleets.Callers(fleet, {
        **settings, "duration_ms": BASELINE_S * 1_000, "requests_per_s": 60,
        "order_together_vms": 1,
        "mix": {"live": 0, "streamed": 0, "patient": 0, "order": 1, "lookup": 1}})
    _, baseline_report = baseline.wait(BASELINE_S + GIVE_UP_MS / 1_000 + 5)
    timer.end("quiet")
    load = fleets.Callers(fleet, {**settings, "duration_ms": RESTART_LOAD_S * 1_000})
    under_load = rolling_restart(fleet, load)
    timer.end("rolling_restart")
    limit_s = (GIVE_UP_MS + PATIENT_DEADLINE_MS) / 1_000 + 10
    _, restart_report = load.wait(RESTART_LOAD_S + limit_s)
    timer.end("rolling_restart_load")
    load = fleets.Callers(fleet, {
        **settings, "duration_ms": FAULT_LOAD_S * 1_000, "seed": settings["seed"] + 1,
        "order_abandon_ms": ABANDON_MS})
    jobs, orders_lost, sent = inject(fleet, account, key)
    timer.end("faults")
    _, fault_report = load.wait(FAULT_LOAD_S + limit_s)
    timer.end("faults_load")
    cancelled = cancelled_job(fleet, key)
    resent, together = crash_by_marker(fleet, key)
    timer.end("marker")
    counts = fleet.all_counts()
    reports = [baseline_report, restart_report, fault_report]
    runs = order_runs(counts)
    answered_without_run = sum(
        runs.get(order, 0) != 1 for report in reports for order in report["orders_answered"])
    lost_jobs = sum(report["classes"].get("patient", {}).get(field, 0)
                    for report in reports for field in ("lost", "unknown"))
    lost_jobs += jobs["killed_job_status"] not in ("done", "finished")
    codes = {
        name: {kind: entry["codes"] for kind, entry in report["classes"].items()
               if entry["codes"]}
        for name, report in zip(("quiet", "rolling_restart", "faults"), reports)}
    return {
        "orders_run_twice": fleets.doubled_orders(counts),
        "orders_answered_but_not_run_once": answered_without_run,
        "answers_mismatched": sum(report["totals"]["mismatched"] for report in reports),
        "streams_cut_by_drain": restart_report["classes"]["streamed"]["cut"],
        "calls_cut_by_drain": restart_report["totals"]["cut"]
        - restart_report["classes"]["streamed"]["cut"],
        "false_not_run": false_not_run(runs, reports, sent),
        "jobs_lost": lost_jobs,
        "engines_crashed_by_marker": resent,
        "engines_crashed_by_marker_sent_together": together,
        "latency_quiet": latency(baseline_report),
        "latency_rolling_restart": latency(restart_report),
        "latency_faults": latency(fault_report),
        "phase_s": timer.seconds,
        "restarts_under_load": under_load,
        "orders_cut_by_kill": orders_lost,
        "orders_resent_after_kill": [
            {"status": reply.status, "run": reply.run, "runs_at_services": runs.get(order, 0)}
            for order, reply in sent],
        "jobs": {**jobs, "cancelled_job_status": cancelled},
        "codes": codes,
        "totals": {
            name: {field: report["totals"][field] for field in (
                "sent", "answered", "refused", "wrongfully_refused", "late", "unknown", "lost",
                "mismatched", "cut", "mismatch_reasons")}
            for name, report in zip(("quiet", "rolling_restart", "faults"), reports)},
    }
