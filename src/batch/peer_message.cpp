/// @file Codec of the datagrams between the processes of a site.
#include "hyssoppond/batch/peer_message_type.h"

#include "hyssoppond/base/checksummed_archive_func.h"

#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

namespace hyssoppond::batch {

namespace {

/// Version byte of a message. Version 1 had only the wake-up message.
constexpr std::uint8_t PeerMessageVersion = 2;

} // namespace

template<class archive>
void serialize(archive &ar, stored_record &record)
{
    ar(record.key, record.value, record.offset);
}

template<class archive>
void serialize(archive &ar, producer_stamp &stamp)
{
    ar(stamp.name, stamp.epoch, stamp.sequence);
}

std::string encodePeerMessage(const peer_message &message)
{
    return encodeChecksummed(PeerMessageVersion, message);
}

result<peer_message> decodePeerMessage(std::string_view bytes)
{
    return decodeChecksummed<peer_message>(PeerMessageVersion, bytes, MaxPeerMessageBytes);
}

} // namespace hyssoppond::batch
