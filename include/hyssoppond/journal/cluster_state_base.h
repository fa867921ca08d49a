/// @file Deterministic reduction of the journal.
#pragma once

#include "hyssoppond/journal/cluster_type.h"
#include "hyssoppond/journal/record_window_base.h"

#include <cereal/types/map.hpp>
#include <cereal/types/utility.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace hyssoppond::journal {

/// Settings of the reduction. They must be equal in all processes.
struct cluster_options
{
    absl::Duration maxClockSkew = absl::Milliseconds(250);
    absl::Duration endedJobRetention = absl::Hours(2);
    absl::Duration bindingRetention = absl::Hours(2);
    absl::Duration removedKeyRetention = absl::Hours(24); ///< of removed keys and gone endpoints
    absl::Duration writerRetention = absl::Hours(24);     ///< of the windows of seen records
    absl::Duration pruneInterval = absl::Minutes(1);      ///< in record time
    /// Off only in fault cells: placements of earlier epochs are then valid.
    bool fenceByEpoch = true;
};

/// State of the cluster. All processes that apply the same payloads have the same state and give
/// each record the same verdict. Retention follows the times of the records, never a local clock.
class cluster_state
{
public:
    using listener = std::function<void(journal_offset, const journal_record &, const verdict &)>;

    explicit cluster_state(cluster_options options = {})
        : m_options(options)
    { }

    /// Called for each reduced record, after its effect.
    void setListener(listener hook) { m_listener = std::move(hook); }

    /// Applies the payload at `offset`, which must be offset() + 1; other offsets are ignored and
    /// return false. Payloads that cannot be decoded are skipped and counted.
    bool apply(journal_offset offset, std::string_view payload);

    journal_offset offset() const { return m_offset; }
    /// Highest record time so far.
    absl::Time time() const { return m_time; }
    const std::map<job_id, job_entry> &jobs() const { return m_jobs; }
    const std::map<std::string, config_entry> &config() const { return m_config; }
    const std::map<process_id, endpoint_entry> &endpoints() const { return m_endpoints; }
    const std::map<domain_id, domain_entry> &domains() const { return m_domains; }
    const job_entry *findJob(const job_id &id) const;
    const domain_entry *findDomain(const domain_id &id) const;
    const binding_entry *findBinding(const team_id &team, const request_id &request) const;
    /// Configuration of a key that exists; null if it does not.
    const config_entry *findConfig(const std::string &key) const;
    /// Earlier application of this change to its key, also if the key was removed; null if none.
    const applied_change *findApplied(const config_changed &change) const;
    /// Accelerators of `worker` that placed or running attempts hold.
    accelerator_mask allocated(const worker_id &worker) const;
    /// Payloads skipped because a newer program wrote them, and because they were damaged.
    std::uint64_t skippedNewer() const { return m_skippedNewer; }
    std::uint64_t skippedDamaged() const { return m_skippedDamaged; }

    std::string encode() const;
    /// Replaces the state. On an error the state is unchanged.
    result<void> restore(std::string_view encoded);
    /// Parts of a snapshot as of offset(), each at most MaxSnapshotPartBytes.
    std::vector<snapshot_part> snapshot(const record_id &id) const;

    /// Hook of cereal.
    template<class archive>
    void serialize(archive &ar)
    {
        ar(m_offset, m_time, m_prunedAt, m_jobs, m_allocations, m_domains, m_bindings, m_config,
           m_endpoints, m_window);
    }

private:
    verdict reduce(const journal_record &record);
    verdict reduceBody(const job_submitted &body);
    verdict reduceBody(const job_command &body);
    verdict reduceBody(const job_placed &body);
    verdict reduceBody(const outage_placed &body);
    verdict reduceBody(const gang_started &body);
    verdict reduceBody(const attempt_ended &body);
    verdict reduceBody(const request_bound &body);
    verdict reduceBody(const config_changed &body);
    verdict reduceBody(const decider_grant &body);
    verdict reduceBody(const decider_release &body);
    verdict reduceBody(const endpoint_announced &body);
    verdict reduceBody(const endpoint_removed &body);
    verdict reduceBody(const snapshot_part &body);

    verdict checkPlacement(const job_entry &job, const job_placed &body) const;
    verdict checkAttempt(const job_id &id, const domain_id &domain, attempt_number attempt,
                         epoch_number epoch) const;
    verdict requeue(job_entry &job);
    bool grantOutageLease(domain_entry &domain, const decider_grant &body) const;
    bool allFree(const std::vector<gang_member> &members) const;
    void allocate(const job_id &id, const std::vector<gang_member> &members);
    void free(const job_id &id, job_entry &job);
    void prune();

    cluster_options m_options;
    listener m_listener;
    journal_offset m_offset = 0;
    absl::Time m_time = absl::InfinitePast();
    absl::Time m_prunedAt = absl::InfinitePast();
    absl::Time m_recordTime; ///< of the record being reduced
    std::map<job_id, job_entry> m_jobs;
    std::map<worker_id, std::map<job_id, accelerator_mask>> m_allocations;
    std::map<domain_id, domain_entry> m_domains;
    std::map<std::pair<team_id, request_id>, binding_entry> m_bindings;
    std::map<std::string, config_entry> m_config;
    std::map<process_id, endpoint_entry> m_endpoints;
    record_window m_window;
    std::uint64_t m_skippedNewer = 0;
    std::uint64_t m_skippedDamaged = 0;
};

/// Joins the parts of one snapshot. Errors: MalformedMessage if a part is missing.
result<std::string> joinParts(const std::vector<snapshot_part> &parts);

} // namespace hyssoppond::journal
