/// @file Calls about jobs that an entry does not know yet, for which it reads the journal.
#include "hyssoppond/batch/batch_entry_base.h"

#include <algorithm>
#include <utility>

namespace hyssoppond::batch {

void batch_entry::finishLookup(lookup *call, bool current)
{
    if (std::exchange(call->isDone, true))
        return;
    call->done(current);
}

void batch_entry::addLookup(std::shared_ptr<lookup> call)
{
    m_openLookups.push_back(call);
    m_waitingLookups.push_back(std::move(call));
    if (m_lookups < m_options.maxLookups)
        startLookups(std::exchange(m_waitingLookups, {}));
}

void batch_entry::startLookups(lookup_batch batch)
{
    absl::Time deadline = absl::InfinitePast();
    for (const std::shared_ptr<lookup> &call : batch)
        deadline = std::max(deadline, call->deadline);
    ++m_lookups;
    m_journal.barrier(deadline, [this, batch = std::move(batch)](bool current) {
        --m_lookups;
        for (const std::shared_ptr<lookup> &call : batch)
            finishLookup(call.get(), current);
        if (!m_waitingLookups.empty() && m_lookups < m_options.maxLookups)
            startLookups(std::exchange(m_waitingLookups, {}));
    });
}

void batch_entry::expireLookups()
{
    // A silent store holds the reads in flight up to their deadlines, which are later than those of
    // calls that wait for the next read.
    for (std::size_t i = 0; i < m_openLookups.size(); ++i) {
        const std::shared_ptr<lookup> call = m_openLookups[i];
        if (call->deadline <= m_hooks.now())
            finishLookup(call.get(), false);
    }
    const auto isDone = [](const std::shared_ptr<lookup> &call) { return call->isDone; };
    std::erase_if(m_openLookups, isDone);
    std::erase_if(m_waitingLookups, isDone);
}

absl::Time batch_entry::nextLookupDeadline() const
{
    absl::Time next = absl::InfiniteFuture();
    for (const std::shared_ptr<lookup> &call : m_openLookups)
        next = std::min(next, call->isDone ? next : call->deadline);
    return next;
}

} // namespace hyssoppond::batch
