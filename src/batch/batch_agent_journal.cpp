/// @file The agent and the journal: orders, ends and evictions that it reads.
#include "hyssoppond/batch/batch_agent_base.h"

#include <absl/strings/str_cat.h>

namespace hyssoppond::batch {

namespace {

/// An order is stale if the journal was last read to its end longer than this before the order was
/// received. Covers one long read and its transmission.
constexpr absl::Duration MaxOrderAge = absl::Milliseconds(1700);

} // namespace

void batch_agent::onLoaded(const std::vector<stored_record> &records)
{
    m_endedRuns.clear();
    m_endedJobs.clear();
    m_stoppingRuns.clear();
    m_evicted = false;
    m_evacuatedZones.clear();
    m_announcedStartMs.reset();
    std::map<item_run, local_run> previousRuns;
    previousRuns.swap(m_runs);
    pruneUnreadEnds();
    for (const auto &[id, offset] : m_unreadEnds)
        m_endedRuns.insert(id);
    // Orders are rebuilt from the journal; the known state of their runs is kept.
    m_applyingLoad = true;
    for (const stored_record &storedRecord : records)
        applyRecord(storedRecord, true);
    m_applyingLoad = false;
    for (auto &[id, run] : m_runs) {
        const auto known = previousRuns.find(id);
        if (known == previousRuns.end())
            continue;
        const bool unwanted = run.unwanted;
        run = known->second;
        run.unwanted = run.unwanted || unwanted;
    }
    m_leaseProofAsOf = std::max(m_leaseProofAsOf, m_follower.currentAsOf());
    logDecision("journal loaded", "",
                absl::StrCat(records.size(), " records, ", m_runs.size(), " runs, ",
                             toString(m_follower.lastLoad())));
    tick();
}

void batch_agent::onRecords(const std::vector<stored_record> &records)
{
    const bool stale = m_hooks.now() - m_follower.previousCurrentAsOf() > MaxOrderAge;
    pruneUnreadEnds();
    for (const stored_record &storedRecord : records)
        applyRecord(storedRecord, stale);
    tick();
}

void batch_agent::applyRecord(const stored_record &stored, bool stale)
{
    if (stored.value.empty())
        return;
    // Submissions are by far the largest records and hold nothing that an agent needs.
    if (stored.key.starts_with("j:"))
        return;
    const result<batch_record> decoded = decodeRecord(stored.value);
    if (!decoded) {
        logDecision("record ignored", stored.key, decoded.error().message);
        return;
    }
    if (const auto *ordered = std::get_if<run_ordered>(&*decoded)) {
        onOrdered(*ordered, stored.offset, stale);
    } else if (const auto *stopping = std::get_if<run_stopping>(&*decoded)) {
        m_stoppingRuns.insert({stopping->unit, stopping->run});
        for (auto &[id, run] : m_runs)
            run.unwanted = run.unwanted || (id.unit == stopping->unit && id.run == stopping->run);
    } else if (const auto *ended = std::get_if<run_ended>(&*decoded)) {
        if (hadStarted(ended->how))
            noteBegun(ended->unit.job);
        if (ended->agent == m_options.agent)
            markEnded({ended->unit, ended->member, ended->run});
    } else if (const auto *started = std::get_if<process_started>(&*decoded)) {
        if (started->isEntry && !started->wakeAddress.empty())
            m_entryAddresses[started->process] = started->wakeAddress;
        if (!started->isEntry && started->process == m_options.agent
            && stored.offset >= m_newestSessionOffset) {
            m_newestSession = *started;
            m_newestSessionOffset = stored.offset;
        }
    } else if (const auto *announced = std::get_if<agent_announced>(&*decoded)) {
        if (announced->agent == m_options.agent)
            onOwnAnnouncement(*announced, stored.offset);
    } else if (const auto *cancelled = std::get_if<job_cancelled>(&*decoded)) {
        // Whether an early one applies to the job only entries can tell, who then record another.
        if (!cancelled->early)
            markUnwanted(cancelled->job);
    } else if (const auto *begun = std::get_if<job_begun>(&*decoded)) {
        noteBegun(begun->job);
    } else if (const auto *failed = std::get_if<job_failed>(&*decoded)) {
        markUnwanted(failed->job);
    } else if (const auto *evacuation = std::get_if<zone_evacuated>(&*decoded)) {
        if (evacuation->evacuated)
            m_evacuatedZones.insert(evacuation->zone);
        else
            m_evacuatedZones.erase(evacuation->zone);
    } else if (const auto *evicted = std::get_if<agent_evicted>(&*decoded)) {
        if (evicted->agent == m_options.agent && m_evicted != evicted->evicted) {
            m_evicted = evicted->evicted;
            logDecision(m_evicted ? "evicted" : "reinstated", m_options.agent.str(),
                        absl::StrCat("offset ", stored.offset));
            // A heartbeat reinstates the agent, and one without a usable worker must not be.
            if (m_evicted && m_announced)
                sendHeartbeat();
        }
    }
}

void batch_agent::onOrdered(const run_ordered &ordered, std::uint64_t offset, bool stale)
{
    // The decider orders a unit again only when its earlier runs are over.
    for (auto &[id, run] : m_runs)
        run.unwanted = run.unwanted || (id.unit == ordered.unit && id.run < ordered.run);
    for (const run_member &member : ordered.members) {
        if (member.agent != m_options.agent)
            continue;
        const item_run id {ordered.unit, member.index, ordered.run};
        if (m_endedRuns.contains(id))
            continue;
        if ((m_synced && member.workerStartMs != m_description->workerStartMs)
            || (m_announcedStartMs && member.workerStartMs != *m_announcedStartMs)) {
            m_voidedRuns.insert(id);
            // The state has lost this run, but a load cannot tell so once the same incarnation is
            // announced again.
            if (m_sessionConfirmed && !m_applyingLoad)
                report({endOf(id, run_end::NotStarted, "")}, 0);
            continue;
        }
        local_run run;
        run.payload = ordered.payload;
        run.checkpoint = ordered.checkpoint;
        run.receivedAt = m_hooks.now();
        run.stale = stale;
        run.workerStartMs = member.workerStartMs;
        run.orderOffset = offset;
        run.gang = ordered.gang;
        run.unwanted = m_leaving || m_endedJobs.contains(ordered.unit.job)
            || m_stoppingRuns.contains({ordered.unit, ordered.run});
        m_runs.try_emplace(id, std::move(run));
    }
}

void batch_agent::onOwnAnnouncement(const agent_announced &announced, std::uint64_t offset)
{
    // As in batch_state: orders before the announcement are void unless they name this incarnation
    // and followed its first announcement.
    noteAnnouncement(announced, offset);
    m_announcedStartMs = announced.hasWorker ? announced.worker.workerStartMs : 0;
    const std::uint64_t firstValidOrder = announced.firstValidOrder(offset);
    std::vector<run_ended> ends;
    std::erase_if(m_runs, [this, &ends, firstValidOrder](const auto &entry) {
        const local_run &run = entry.second;
        const bool isValid
            = run.workerStartMs == *m_announcedStartMs && run.orderOffset >= firstValidOrder;
        const bool isVoid = !isValid && run.state == phase::Ordered && !run.uncertain;
        if (isVoid) {
            m_voidedRuns.insert(entry.first);
            ends.push_back(endOf(entry.first, run_end::NotStarted, ""));
        }
        return isVoid;
    });
    if (!ends.empty() && m_sessionConfirmed && !m_applyingLoad)
        report(std::move(ends), 0);
}

void batch_agent::noteAnnouncement(const agent_announced &announced, std::uint64_t offset)
{
    if (m_newestAnnouncement && offset < m_newestAnnouncementOffset)
        return;
    m_newestAnnouncement = announced;
    m_newestAnnouncement->presentSince = announced.firstValidOrder(offset);
    m_newestAnnouncementOffset = offset;
    if (!announced.hasWorker)
        return;
    // An earlier process may have used later heartbeats than the first ones that reach this one.
    const bool isSame
        = m_newestHeartbeat && m_newestHeartbeat->worker.isSameIncarnation(announced.worker);
    if (m_newestHeartbeat && !(isSame && m_newestHeartbeat->number < announced.heartbeatNumber))
        return;
    m_newestHeartbeat = worker_heartbeat {announced.worker, announced.heartbeatNumber};
    if (m_description && m_description->isSameIncarnation(announced.worker))
        m_description = announced.worker;
}

void batch_agent::markEnded(const item_run &run)
{
    m_endedRuns.insert(run);
    m_runs.erase(run);
}

void batch_agent::pruneUnreadEnds()
{
    std::erase_if(m_unreadEnds,
                  [this](const auto &entry) { return entry.second < m_follower.position(); });
}

void batch_agent::markUnwanted(const job_id &job)
{
    m_endedJobs.insert(job);
    for (auto &[id, run] : m_runs)
        run.unwanted = run.unwanted || id.unit.job == job;
}

} // namespace hyssoppond::batch
