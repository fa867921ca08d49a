#!/usr/bin/env python3
"""Renders the tables of docs/CAPACITY.md from docs/capacity-raw.jsonl.

With --check, writes nothing and fails if the page does not follow from the raw figures.
"""
import json
import pathlib
import sys

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
BEGIN = "<!-- begin: rendered by scripts/render-capacity.py -->"
END = "<!-- end: rendered by scripts/render-capacity.py -->"

# Design size, docs/design.md section 3.
WORKERS = 21_000
JOBS_PER_DAY = 24_000
CHANGES_PER_DAY = 16_000
RESTARTS_PER_DAY = 4_050
TASKS = 220_000
REGIONS = 6
DAY = 86_400
# Assumptions; the page lists them.
RUN_HOURS = 10
ENTRIES = 30
IP_UDP_BYTES = 28
SOCKET_SECONDS = 20e-6
PROCESS_BYTES = 30e6
KEYS = 1_500
# Settings in the code.
ENDED_JOB_HOURS = 2
POLLS_PER_SECOND = 5
GRANTS_PER_DAY = 1_440
SNAPSHOT_HOURS = 1
SNAPSHOT_PART_BYTES = 64 * 1024
# Budget per node for control.
CORE_SHARE, MEMORY_BYTES, BYTES_PER_SECOND = 0.042, 256e6, 2_000


class Figures:
    """The raw figures, indexed by part, measure and size."""

    def __init__(self, lines):
        self.points = {}
        self.bench = {}
        for line in lines:
            if "part" in line:
                self.points.setdefault((line["part"], line["measure"]), {})[line["size"]] = line
            else:
                self.bench.setdefault(line["measure"], {})[line["site"]] = line["value"]

    def value_at(self, part, measure, size=None):
        """Value at a size, or at the largest measured one."""
        values = self.points[part, measure]
        return values[max(values) if size is None else size]["value"]

    def interpolate(self, part, measure, size):
        """Linear interpolation between the two measured sizes around `size`."""
        sizes = sorted(self.points[part, measure])
        low = max(s for s in sizes if s <= size)
        high = min(s for s in sizes if s >= size)
        first, last = self.value_at(part, measure, low), self.value_at(part, measure, high)
        return first if low == high else first + (last - first) * (size - low) / (high - low)


class Load:
    """Messages and bytes sent a second, processor time a second, and memory of one process."""

    def __init__(self, messages=0.0, payload=0.0, seconds=0.0, memory=0.0, frames=True):
        self.messages, self.payload, self.seconds, self.memory = messages, payload, seconds, memory
        self.framed = messages if frames else 0.0

    def wire(self, frame):
        return self.payload + self.framed * (frame + IP_UDP_BYTES)


def number(value):
    if value >= 1000:
        return f"{value:,.0f}"
    return f"{value:.0f}" if value >= 100 else f"{value:.3g}"


def membership(figures):
    def total(phase, quantity):
        return sum(figures.value_at("membership", f"{phase}_{quantity}_{zones}_per_node_per_second")
                   for zones in ("own_zone", "other_zones"))
    # The bytes of a restart are proportional to the number of processes, because every process is told
    # of it.
    size = max(figures.points["membership", "bytes_per_restart_of_all_nodes"])
    churn = figures.value_at("membership", "bytes_per_restart_of_all_nodes") / size * RESTARTS_PER_DAY / DAY
    codec_size = 100  # largest size whose processor time includes encoding
    return Load(total("steady", "messages"), total("steady", "bytes") + churn,
                figures.value_at("membership", "steady_simulation_seconds_per_node_per_second", codec_size),
                figures.value_at("membership", "state_bytes_per_known_member") * WORKERS)


def configuration(figures):
    prefix = "16000_changes_a_day_"
    return Load(figures.value_at("config", prefix + "messages_per_node_per_second"),
                figures.value_at("config", prefix + "bytes_per_node_per_second"),
                figures.value_at("config", prefix + "simulation_seconds_per_node_per_second"),
                figures.value_at("config", "heap_bytes_per_key") * KEYS)


def gang_members(figures, members, tasks):
    def per_member(measure):
        return figures.interpolate("gang", measure, members) * tasks
    return Load(per_member("messages_sent_per_member_per_second"),
                per_member("bytes_sent_per_member_per_second"),
                per_member("simulation_seconds_per_member_per_second"),
                per_member("heap_bytes_of_all_parties_per_member"))


def coordinator(figures, members, gangs, starts_per_second):
    def load(quantity):
        running = figures.interpolate("gang", f"{quantity}_of_coordinator_per_gang_per_second", members)
        start = figures.interpolate("gang", f"{quantity}_of_coordinator_per_start", members)
        return running * gangs + start * starts_per_second
    return Load(load("messages"), load("bytes"), 0.0,
                figures.interpolate("gang", "heap_bytes_of_coordinator_per_gang", members) * gangs)


def journal_bytes_per_day(figures, members):
    return (figures.interpolate("journal", "bytes_per_job", members) * JOBS_PER_DAY
            + figures.value_at("journal", "bytes_of_config_changed") * CHANGES_PER_DAY
            + figures.value_at("journal", "bytes_per_endpoint_restart") * RESTARTS_PER_DAY
            + figures.value_at("journal", "bytes_of_decider_grant") * GRANTS_PER_DAY * REGIONS)


def snapshot_bytes(figures, running):
    ended = JOBS_PER_DAY / 24 * ENDED_JOB_HOURS
    return (figures.value_at("journal", "snapshot_bytes_per_job_running_jobs_of_750_teams") * running
            + figures.value_at("journal", "snapshot_bytes_per_job_ended_jobs_of_750_teams") * ended
            + figures.value_at("journal", "snapshot_bytes_per_endpoint") * WORKERS)


def reader(figures, members, running):
    """Load of an entry that follows the journal."""
    snapshot = snapshot_bytes(figures, running) / (SNAPSHOT_HOURS * 3600)
    records = (JOBS_PER_DAY * 4 + CHANGES_PER_DAY + 2 * RESTARTS_PER_DAY) / DAY
    apply = figures.value_at("journal", "apply_microseconds_per_record_running_jobs_of_750_teams") * 1e-6
    ended = JOBS_PER_DAY / 24 * ENDED_JOB_HOURS
    return Load(POLLS_PER_SECOND, journal_bytes_per_day(figures, members) / DAY + snapshot,
                records * apply + POLLS_PER_SECOND * SOCKET_SECONDS,
                figures.value_at("journal", "heap_bytes_per_job_running_jobs_of_750_teams") * running
                + figures.value_at("journal", "heap_bytes_per_job_ended_jobs_of_750_teams") * ended
                + figures.value_at("journal", "heap_bytes_per_endpoint") * WORKERS, frames=False)


def scheduling(figures):
    decisions = 2 * JOBS_PER_DAY / DAY / REGIONS
    micros = figures.bench["decision_microseconds_p99"]["21000-workers"]
    memory = (figures.value_at("scheduler", "heap_bytes_per_worker") * WORKERS
              + figures.value_at("scheduler", "heap_bytes_per_team_with_contract") * 750
              + figures.value_at("scheduler", "heap_bytes_per_queued_job") * JOBS_PER_DAY * RUN_HOURS / 24)
    return Load(0, 0, decisions * micros * 1e-6, memory)


def role_rows(figures, name, parts):
    frame = figures.value_at("transport", "bytes_of_frame_around_payload", 100)
    codec = figures.value_at("transport", "microseconds_to_encode_and_decode_frame", 100) * 1e-6
    messages = wire = share = 0.0
    memory = PROCESS_BYTES
    for mechanism, load in parts:
        seconds = load.seconds + load.framed * (codec + SOCKET_SECONDS)
        yield (f"| {name} | {mechanism} | {number(load.messages)} | {number(load.wire(frame))} "
               f"| {number(100 * seconds)} | {number(load.memory / 1e6)} |")
        messages += load.messages
        wire += load.wire(frame)
        share += seconds
        memory += load.memory
    over = [text for text, bad in (("core", share > CORE_SHARE), ("memory", memory > MEMORY_BYTES),
                                   ("bytes", wire > BYTES_PER_SECOND)) if bad]
    verdict = "over the budget: " + ", ".join(over) if over else "within the budget"
    yield (f"| {name} | **sum, {verdict}** | {number(messages)} | {number(wire)} "
           f"| {number(100 * share)} | {number(memory / 1e6)} |")


def roles(figures):
    running = JOBS_PER_DAY * RUN_HOURS / 24
    members = TASKS / running
    yield "| Role | Mechanism | messages/s | bytes/s | % of a core | MB |"
    yield "|---|---|---|---|---|---|"
    common = [("membership", membership(figures)), ("configuration", configuration(figures))]
    yield from role_rows(figures, "agent", common + [
        (f"{TASKS / WORKERS:.1f} members of gangs", gang_members(figures, members, TASKS / WORKERS))])
    follow = ("journal reader, snapshots", reader(figures, members, running))
    yield from role_rows(figures, "other entry", common + [follow])
    per_region = running / REGIONS
    yield from role_rows(figures, "entry that leads placement", common + [
        follow, ("scheduler", scheduling(figures)),
        (f"coordinator of {per_region:,.0f} gangs",
         coordinator(figures, members, per_region, JOBS_PER_DAY / DAY / REGIONS))])


def log_load(figures):
    running = JOBS_PER_DAY * RUN_HOURS / 24
    members = TASKS / running
    parts = snapshot_bytes(figures, running) / SNAPSHOT_PART_BYTES * 24 / SNAPSHOT_HOURS
    rows = [
        ("jobs, 4 records each", JOBS_PER_DAY * 4,
         JOBS_PER_DAY * figures.interpolate("journal", "bytes_per_job", members)),
        ("configuration changes", CHANGES_PER_DAY,
         CHANGES_PER_DAY * figures.value_at("journal", "bytes_of_config_changed")),
        ("endpoint restarts, 2 records each", RESTARTS_PER_DAY * 2,
         RESTARTS_PER_DAY * figures.value_at("journal", "bytes_per_endpoint_restart")),
        ("grants", GRANTS_PER_DAY * REGIONS,
         GRANTS_PER_DAY * REGIONS * figures.value_at("journal", "bytes_of_decider_grant")),
        ("snapshots, one an hour", parts, parts * SNAPSHOT_PART_BYTES)]
    rows.append(("**sum**", sum(r[1] for r in rows), sum(r[2] for r in rows)))
    yield "| Platform log: load from us | appends/day | appends/s | MB/day |"
    yield "|---|---|---|---|"
    for source, appends, size in rows:
        yield f"| {source} | {appends:,.0f} | {number(appends / DAY)} | {number(size / 1e6)} |"
    yield ""
    yield (f"Reads: {ENTRIES} entries poll {POLLS_PER_SECOND} times a second, "
           f"{ENTRIES * POLLS_PER_SECOND} reads a second. A snapshot has "
           f"{number(snapshot_bytes(figures, running) / 1e6)} MB.")


def points_text(figures, part, measure):
    """All measured points of a slope as text."""
    return "; ".join(f"{size:,}: {number(line['value'])}"
                     for size, line in sorted(figures.points[part, measure].items()))


def first_limits(figures):
    """Sizes at which single mechanisms exceed the budget, in the order in which they do."""
    frame = figures.value_at("transport", "bytes_of_frame_around_payload", 100)
    codec = figures.value_at("transport", "microseconds_to_encode_and_decode_frame", 100) * 1e-6
    members = TASKS / (JOBS_PER_DAY * RUN_HOURS / 24)
    gang = coordinator(figures, members, 1, 0)
    gangs_by_core = CORE_SHARE / (gang.framed * (codec + SOCKET_SECONDS))
    yield (f"1. Coordinator. A running gang of {members:.0f} costs its coordinator "
           f"{number(gang.wire(frame))} bytes/s in both directions, so that {BYTES_PER_SECOND:,} "
           f"bytes/s hold {number(BYTES_PER_SECOND / gang.wire(frame))} gangs of one decider; "
           f"{100 * CORE_SHARE:.1f}% of a core hold {number(gangs_by_core)}. A region has "
           f"{JOBS_PER_DAY * RUN_HOURS / 24 / REGIONS:,.0f}.")
    task = gang_members(figures, members, 1).wire(frame)
    base = sum(load.wire(frame) for load in (membership(figures), configuration(figures)))
    yield (f"2. Agent. Membership and configuration cost each process {number(base)} bytes/s, and a "
           f"member of a gang costs its agent {number(task)} bytes/s on average: the budget holds "
           f"{number(max(0, BYTES_PER_SECOND - base) / task)} members; the design size has "
           f"{TASKS / WORKERS:.1f}.")
    for size in sorted(figures.points["gang", "bytes_of_worker_that_is_root_of_10_gangs_per_second"]):
        count = figures.value_at("gang", "messages_of_worker_that_is_root_of_10_gangs_per_second", size)
        payload = figures.value_at("gang", "bytes_of_worker_that_is_root_of_10_gangs_per_second", size)
        yield (f"   - A worker that is the root of 10 gangs of {size} sends and receives "
               f"{number(count)} messages/s, "
               f"{number(payload + count * (frame + IP_UDP_BYTES))} bytes/s with frames.")
    yield ("   - Messages sent per member and second: "
           f"{points_text(figures, 'gang', 'messages_sent_per_member_per_second')}; of gang_renew: "
           f"{points_text(figures, 'gang', 'gang_renew_of_all_parties_per_member_per_second')}. One renewal "
           "per interval of 5 s would be 0.2.")
    log = reader(figures, members, JOBS_PER_DAY * RUN_HOURS / 24)
    part = snapshot_bytes(figures, JOBS_PER_DAY * RUN_HOURS / 24) / (SNAPSHOT_HOURS * 3600)
    yield (f"3. Entry as a reader. Following the journal takes {number(log.payload)} bytes/s, of "
           f"which {number(part)} are the parts of the hourly snapshot that every entry reads.")
    yield ("4. Start of a large gang. Bytes sent and received by the coordinator: "
           f"{points_text(figures, 'gang', 'bytes_of_coordinator_per_start')}. The plan of all members goes to "
           "every member twice, so that this grows with the square of the gang.")
    yield ("5. Membership. Bytes/s of a node in its own zone in the steady state: "
           f"{points_text(figures, 'membership', 'steady_bytes_own_zone_per_node_per_second')}; to other zones "
           "while all start together: "
           f"{points_text(figures, 'membership', 'start_bytes_other_zones_per_node_per_second')}.")
    yield ("6. Configuration. Seconds until all processes have a change at 10% loss (target 6 s): "
           f"{points_text(figures, 'config', 'seconds_until_all_have_change_at_10_percent_loss')}.")


def slopes(figures):
    yield "| Part | Measure | size: value | clock |"
    yield "|---|---|---|---|"
    for (part, measure), values in figures.points.items():
        text = points_text(figures, part, measure)
        clock = next(iter(values.values()))["clock"]
        clock = "this machine" if clock == "wall" else "virtual or counted"
        yield f"| {part} | {measure.replace('_', ' ')} | {text} | {clock} |"
    for measure, values in figures.bench.items():
        text = "; ".join(f"{site}: {number(value)}" for site, value in values.items())
        clock = "this machine" if "microseconds" in measure else "virtual or counted"
        yield f"| bench part policy_cost | {measure.replace('_', ' ')} | {text} | {clock} |"


def main():
    lines = [json.loads(line) for line in (DOCS / "capacity-raw.jsonl").read_text().splitlines()
             if line.startswith("{")]
    figures = Figures(lines)
    body = "\n".join(["", "### Per process at the design size", "", *roles(figures), "",
                      "### Platform log", "", *log_load(figures), "", "### What bends first", "",
                      *first_limits(figures), "", "### Slopes", "", *slopes(figures), ""])
    page = DOCS / "CAPACITY.md"
    text = page.read_text()
    head, rest = text.split(BEGIN)
    tail = rest.split(END)[1]
    rendered = head + BEGIN + "\n" + body + "\n" + END + tail
    if "--check" in sys.argv[1:]:
        if rendered != text:
            sys.exit("docs/CAPACITY.md does not follow from docs/capacity-raw.jsonl; "
                     "run scripts/render-capacity.py")
        return
    page.write_text(rendered)


if __name__ == "__main__":
    main()
