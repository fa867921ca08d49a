/// @file How long agents have been silent at least, concluded from the store's order of heartbeats.
#pragma once

#include "hyssoppond/batch/batch_record_type.h"

#include <absl/time/time.h>

#include <cstdint>
#include <deque>
#include <map>

namespace hyssoppond::batch {

/// Tells how long ago the last heartbeat of an agent was stored at least, also to a reader that
/// reads it only now. `heartbeat_ages` gives the opposite bound.
///
/// Another process, the witness, names a heartbeat of its own that is later in the store's order,
/// and when its answer arrived on its steady clock. The agent's last heartbeat was stored before.
/// The newest heartbeat of the witness was sent at a known time of the same clock, and before it
/// was read. So the time between the two has passed since then, whatever the reader's clock shows.
///
/// A witness counts only since the last gap in its own heartbeats: in a gap, the store may have
/// carried out none at all, so that the silence of others tells nothing.
class heartbeat_order
{
public:
    /// Notes `heartbeat`, which is at `offset`. The heartbeats have to be noted in the order of
    /// their offsets; repeated ones have no effect.
    void note(const agent_heartbeat &heartbeat, std::uint64_t offset);

    /// Time for which the store has carried out heartbeats of another process since the last noted
    /// one of `agent`, at least. Zero if nothing is known.
    absl::Duration provenSilence(const process_id &agent) const;

private:
    /// A heartbeat of a witness that the store has answered.
    struct stored_heartbeat
    {
        std::uint64_t offset = 0;
        absl::Duration answeredAt; ///< on the clock of the witness
    };

    struct witness
    {
        incarnation_number sender = 0;
        std::uint64_t lastOffset = 0;        ///< of its last heartbeat
        absl::Duration newestSentAt;         ///< on its clock
        std::deque<stored_heartbeat> stored; ///< since the last gap, by offset
    };

    std::uint64_t m_end = 0; ///< after the last noted heartbeat
    std::map<process_id, witness> m_witnesses;
};

} // namespace hyssoppond::batch
