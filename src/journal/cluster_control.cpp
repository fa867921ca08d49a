/// @file Applies the journal records of deciders, request bindings, configuration and endpoints.
#include "hyssoppond/journal/cluster_state_base.h"
#include "verdict_func.h"

#include <xxhash.h>

#include <algorithm>

namespace hyssoppond::journal {

namespace {

std::uint64_t hashOf(const std::string &value)
{
    return XXH64(value.data(), value.size(), 0);
}

} // namespace

bool cluster_state::grantOutageLease(domain_entry &domain, const decider_grant &body) const
{
    if (body.outageLeaseUntil == absl::InfinitePast())
        return false;
    const bool renews = domain.outageLeaseHolder == body.holder
        && domain.outageLeaseIncarnation == body.incarnation;
    const bool available = domain.outageLeaseHolder.isEmpty()
        || body.issuedAt > domain.outageLeaseUntil + m_options.maxClockSkew;
    if (!renews && !available)
        return false;
    if (!renews)
        domain.outageLeaseFirstEpoch = body.epoch;
    domain.outageLeaseHolder = body.holder;
    domain.outageLeaseIncarnation = body.incarnation;
    domain.outageLeaseLastEpoch = body.epoch;
    // A renewal never shortens the outage lease, because its holder may have read only the earlier
    // record and still rely on the later expiry.
    domain.outageLeaseUntil
        = renews ? std::max(domain.outageLeaseUntil, body.outageLeaseUntil) : body.outageLeaseUntil;
    return true;
}

verdict cluster_state::applyBody(const decider_grant &body)
{
    if (body.holder.isEmpty())
        return reject(reason::InvalidArgument);
    const auto known = m_domains.find(body.domain);
    const epoch_number current = known == m_domains.end() ? 0 : known->second.epoch;
    // A renewal keeps the epoch, so that placements already sent to the log stay valid.
    const bool renewal = known != m_domains.end() && body.epoch == current
        && known->second.holder == body.holder && known->second.incarnation == body.incarnation;
    if (!renewal && body.epoch != current + 1)
        return reject(reason::StaleEpoch, current);
    domain_entry &domain = m_domains[body.domain];
    domain.epoch = body.epoch;
    domain.holder = body.holder;
    domain.incarnation = body.incarnation;
    domain.grantedAt = body.issuedAt;
    verdict decision = accept();
    decision.outageLease = grantOutageLease(domain, body);
    return decision;
}

verdict cluster_state::applyBody(const decider_release &body)
{
    const auto it = m_domains.find(body.domain);
    if (it == m_domains.end())
        return reject(reason::StaleEpoch);
    domain_entry &domain = it->second;
    const bool hasGrant = domain.holder == body.holder && domain.incarnation == body.incarnation;
    const bool holdsOutageLease = domain.outageLeaseHolder == body.holder
        && domain.outageLeaseIncarnation == body.incarnation;
    if (hasGrant)
        domain.holder = process_id();
    if (holdsOutageLease)
        domain.outageLeaseHolder = process_id();
    return hasGrant || holdsOutageLease ? accept() : reject(reason::StaleEpoch, domain.epoch);
}

verdict cluster_state::applyBody(const request_bound &body)
{
    const auto [it, added] = m_bindings.try_emplace(
        {body.team, body.request},
        binding_entry {body.agent, body.incarnation, m_offset, m_time, body.until});
    if (added)
        return accept();
    const binding_entry &firstBinding = it->second;
    return firstBinding.agent == body.agent && firstBinding.incarnation == body.incarnation
        ? repeat(firstBinding.offset)
        : reject(reason::RequestIdReused, firstBinding.offset);
}

const applied_change *cluster_state::findApplied(const config_changed &change) const
{
    const auto known = m_config.find(change.key);
    if (known == m_config.end() || change.request.isEmpty())
        return nullptr;
    const std::uint64_t hash = hashOf(change.value);
    const auto &applied = known->second.applied;
    const auto it
        = std::find_if(applied.begin(), applied.end(), [&](const applied_change &candidate) {
              return candidate.request == change.request && candidate.issuedBy == change.issuedBy
                  && candidate.valueHash == hash;
          });
    return it == applied.end() ? nullptr : &*it;
}

verdict cluster_state::applyBody(const config_changed &body)
{
    if (body.key.empty())
        return reject(reason::InvalidArgument);
    const auto known = m_config.find(body.key);
    const bool exists = known != m_config.end() && !known->second.value.empty();
    const journal_offset version = known == m_config.end() ? 0 : known->second.version;
    // An operator who repeats a change whose answer was lost gets the answer to the first request,
    // even if the key has changed since: a repeated runbook step must not undo later changes.
    if (const applied_change *earlier = findApplied(body))
        return repeat(earlier->version);
    if (body.expectedVersion != version && (exists || body.expectedVersion != 0))
        return reject(reason::VersionConflict, version);
    if (!exists && body.value.empty())
        return reject(reason::VersionConflict, version);
    config_entry &entry = m_config[body.key];
    entry.value = body.value;
    entry.version = m_offset;
    entry.request = body.request;
    entry.issuedBy = body.issuedBy;
    entry.changedAt = m_time;
    if (!body.request.isEmpty()) {
        entry.applied.push_back({body.request, body.issuedBy, hashOf(body.value), m_offset});
        if (entry.applied.size() > MaxAppliedChanges)
            entry.applied.erase(entry.applied.begin());
    }
    return accept();
}

verdict cluster_state::applyBody(const endpoint_announced &body)
{
    const process_id &agent = body.announced.agent;
    if (agent.isEmpty())
        return reject(reason::InvalidArgument);
    const auto known = m_endpoints.find(agent);
    if (known != m_endpoints.end()) {
        const endpoint_entry &entry = known->second;
        if (body.announced.incarnation < entry.announced.incarnation
            || (entry.removed && body.announced.incarnation == entry.announced.incarnation))
            return reject(reason::StaleIncarnation);
    }
    m_endpoints[agent] = {body.announced, false, m_time};
    return accept();
}

verdict cluster_state::applyBody(const endpoint_removed &body)
{
    const auto it = m_endpoints.find(body.agent);
    if (it == m_endpoints.end())
        return reject(reason::UnknownEndpoint);
    if (body.incarnation < it->second.announced.incarnation)
        return reject(reason::StaleIncarnation);
    it->second.announced.incarnation = body.incarnation;
    it->second.removed = true;
    it->second.changedAt = m_time;
    return accept();
}

} // namespace hyssoppond::journal
