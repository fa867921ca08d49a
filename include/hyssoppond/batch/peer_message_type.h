/// @file Datagrams between the processes of a site. Each may be lost.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/base/id_type.h"
#include "hyssoppond/batch/store_port.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace hyssoppond::batch {

/// Tells the receiver that the journal has records for it, so that it reads at once.
struct wake_message
{
    std::uint64_t end = 0; ///< offset after those records
    template<class archive>
    void serialize(archive &ar)
    {
        ar(end);
    }
};

/// Asks a peer to send an append with a producer stamp to the store, which drops repetitions.
struct relayed_append
{
    std::uint64_t id = 0; ///< of the call, chosen by the sender
    std::string replyTo;  ///< HOST:PORT
    std::string topic;
    std::vector<stored_record> records;
    producer_stamp producer;
    std::uint32_t answerTimeoutMs = 0;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, replyTo, topic, records, producer, answerTimeoutMs);
    }
};

/// Asks a peer to read a topic.
struct relayed_read
{
    std::uint64_t id = 0;
    std::string replyTo;
    std::string topic;
    std::uint64_t from = 0;
    std::uint32_t waitMs = 0;
    std::uint32_t answerTimeoutMs = 0; ///< added to the wait
    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, replyTo, topic, from, waitMs, answerTimeoutMs);
    }
};

/// Answers a relayed_append.
struct relayed_append_reply
{
    std::uint64_t id = 0;
    append_answer answer;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, answer.outcome, answer.offset);
    }
};

/// Answers a relayed_read; may hold fewer records than the store's answer. It does not tell for how
/// long the store waited, as the wait of the peer's call is not that of the sender's call.
struct relayed_read_reply
{
    std::uint64_t id = 0;
    read_answer answer;
    template<class archive>
    void serialize(archive &ar)
    {
        ar(id, answer.outcome, answer.records, answer.end, answer.first);
    }
};

/// Asks an entry whether it decides.
struct decider_query
{
    std::string replyTo;    ///< HOST:PORT
    bool isReserve = false; ///< see decider_options::isReserve
    template<class archive>
    void serialize(archive &ar)
    {
        ar(replyTo, isReserve);
    }
};

/// Answers a decider_query.
struct decider_answer
{
    process_id entry;
    epoch_number epoch
        = 0; ///< of its grant; 0 if it does not decide or another entry may take over
    template<class archive>
    void serialize(archive &ar)
    {
        ar(entry, epoch);
    }
};

using peer_message = std::variant<wake_message, relayed_append, relayed_read, relayed_append_reply,
                                  relayed_read_reply, decider_query, decider_answer>;

/// Largest encoded message; the platform's largest submissions have about 5 KB.
inline constexpr std::size_t MaxPeerMessageBytes = 16'384;

std::string encodePeerMessage(const peer_message &message);
/// Errors: those of decodeChecksummed.
result<peer_message> decodePeerMessage(std::string_view bytes);

} // namespace hyssoppond::batch
