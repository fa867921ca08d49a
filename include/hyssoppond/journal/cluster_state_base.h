/// @file Cluster state that results from applying the journal; deterministic in all processes.
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

/// Settings for applying the journal. They must be equal in all processes, so that all reach the
/// same verdicts.
struct cluster_options
{
    absl::Duration maxClockSkew = absl::Milliseconds(250);
    absl::Duration endedJobRetention = absl::Hours(2);
    absl::Duration bindingRetention = absl::Hours(2);
    absl::Duration removedKeyRetention = absl::Hours(24); ///< of removed keys and removed endpoints
    absl::Duration writerRetention = absl::Hours(24);     ///< of the windows of seen records
    absl::Duration pruneInterval = absl::Minutes(1);      ///< measured in record time
    /// Rejects placements of earlier epochs. Disabled only in fault cells.
    bool fenceByEpoch = true;
};

/// State of the cluster. All processes that apply the same payloads have the same state and give
/// each record the same verdict. Retention is computed from the times of the records, never
/// from a local clock, which differs between processes.
class cluster_state
{
public:
    using listener = std::function<void(journal_offset, const journal_record &, const verdict &)>;

    explicit cluster_state(cluster_options options = {})
        : m_options(options)
    { }

    /// The listener is called for each applied record, after the record took effect.
    void setListener(listener hook) { m_listener = std::move(hook); }

    /// Applies the payload at `offset`, which must be offset() + 1. For other offsets nothing is
    /// applied and the result is false. Payloads that cannot be decoded are skipped and counted.
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
    /// Configuration of a key; null if the key does not exist or was removed.
    const config_entry *findConfig(const std::string &key) const;
    /// The same change as applied to its key earlier, also if the key was removed since; null if it
    /// was not applied.
    const applied_change *findApplied(const config_changed &change) const;
    /// Accelerators of `worker` that are held by placed or running attempts.
    accelerator_mask allocated(const worker_id &worker) const;
    /// Number of payloads skipped because a newer program wrote them.
    std::uint64_t skippedNewer() const { return m_skippedNewer; }
    /// Number of payloads skipped because they were damaged.
    std::uint64_t skippedDamaged() const { return m_skippedDamaged; }

    /// State as a snapshot encodes it: version byte, checksum, archive.
    std::string encode() const;
    /// Replaces the state by an encoded one; settings, listener and counters of skipped payloads
    /// stay. On an error the state is unchanged. Errors: BodyTooLarge, UnsupportedVersion,
    /// ChecksumMismatch, MalformedMessage.
    result<void> restore(std::string_view encoded);
    /// Parts of a snapshot as of offset(), each of at most MaxSnapshotPartBytes.
    std::vector<snapshot_part> snapshot(const record_id &id) const;

    /// Called by cereal; defines the stored format of snapshots.
    template<class archive>
    void serialize(archive &ar)
    {
        ar(m_offset, m_time, m_prunedAt, m_jobs, m_allocations, m_domains, m_bindings, m_config,
           m_endpoints, m_window);
    }

private:
    verdict applyRecord(const journal_record &record);
    verdict applyBody(const job_submitted &body);
    verdict applyBody(const job_command &body);
    verdict applyBody(const job_placed &body);
    verdict applyBody(const outage_placed &body);
    verdict applyBody(const gang_started &body);
    verdict applyBody(const attempt_ended &body);
    verdict applyBody(const request_bound &body);
    verdict applyBody(const config_changed &body);
    verdict applyBody(const decider_grant &body);
    verdict applyBody(const decider_release &body);
    verdict applyBody(const endpoint_announced &body);
    verdict applyBody(const endpoint_removed &body);
    verdict applyBody(const snapshot_part &body);

    verdict checkPlacement(const job_entry &job, const job_placed &body) const;
    verdict checkAttempt(const job_id &id, const domain_id &domain, attempt_number attempt,
                         epoch_number epoch) const;
    verdict requeue(job_entry &job);
    bool grantOutageLease(domain_entry &domain, const decider_grant &body) const;
    bool acceleratorsAreFree(const std::vector<gang_member> &members) const;
    void allocateAccelerators(const job_id &id, const std::vector<gang_member> &members);
    void releaseAccelerators(const job_id &id, job_entry &job);
    void prune();

    cluster_options m_options;
    listener m_listener;
    journal_offset m_offset = 0;
    absl::Time m_time = absl::InfinitePast();
    absl::Time m_prunedAt = absl::InfinitePast();
    absl::Time m_recordTime; ///< time of the record being applied
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

/// Joins the parts of one snapshot, which must be in index order. Errors: MalformedMessage if a
/// part is missing or out of order.
result<std::string> joinParts(const std::vector<snapshot_part> &parts);

} // namespace hyssoppond::journal
