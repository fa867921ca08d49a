/// @file Exchange of views: random members compare digests, and new members request the whole view.
#include "membership_state.h"

#include <algorithm>
#include <utility>

namespace hyssoppond {
namespace {

// Maximum number of buckets named in one request. Their members exceed the packets of one answer
// many times over.
constexpr std::size_t MaxRequestedBuckets = 32;

} // namespace

void membership::state::exchangeView()
{
    // Shortly after the start, members of any zone are asked: the own zone may have restarted as a
    // whole, and then only the other zones hold the complete view.
    const bool recentlyStarted = now() < rescanUntil;
    const bool local = !recentlyStarted && randomBelow(100) >= settings.remoteProbePercent;
    const member_entry *to = local ? choose(table.inZone(self.announcement->self.zone)) : nullptr;
    if (to == nullptr)
        to = chooseAny();
    if (to == nullptr)
        return;
    membership_message digest;
    digest.kind = membership_kind::ViewDigest;
    const auto digests = table.digestsWith(self);
    digest.digests.assign(digests.begin(), digests.end());
    send(to->asPeer(), std::move(digest));
}

// Requests the next part of the whole view. If the request or its answer is lost, the request is
// sent again to another random contact.
void membership::state::requestBuckets()
{
    nextJoin = now() + settings.joinInterval;
    const std::optional<peer> contact = chooseContact();
    if (!contact)
        return;
    membership_message request;
    request.kind = membership_kind::BucketRequest;
    request.sequence = joinSequence = nextSequence++;
    request.bucket = joinBucket;
    send(*contact, std::move(request));
}

void membership::state::onViewDigest(const peer &from, const membership_message &message)
{
    const auto ownDigests = table.digestsWith(self);
    const std::size_t offset
        = randomBelow(ViewBuckets); // a random start, so that no bucket is always left out
    std::vector<std::uint16_t> differing;
    for (std::size_t i = 0; i < ViewBuckets && differing.size() < MaxRequestedBuckets; ++i) {
        const auto bucket = static_cast<std::uint16_t>((i + offset) % ViewBuckets);
        if (message.digests[bucket] != ownDigests[bucket])
            differing.push_back(bucket);
    }
    if (differing.empty())
        return;
    // Views that differ widely, for example after a partition, are exchanged again soon. Shortly
    // after the start, the member that sent the whole view may have been new itself, so that the
    // whole view is requested again.
    if (differing.size() == MaxRequestedBuckets) {
        nextView = std::min(nextView, now() + settings.catchUpInterval);
        if (now() < rescanUntil && nextJoin == absl::InfiniteFuture()) {
            joinBucket = 0;
            nextJoin = now();
        }
    }
    membership_message request;
    request.kind = membership_kind::BucketRequest;
    request.digests = differing;
    send(from, std::move(request));
    sendBuckets(from, differing, 0);
}

// Sends whole buckets until the limit of packets (bucketPackets) is reached. The last packet of an
// answer to a joining member (`sequence` is not 0) names the bucket to ask for next.
void membership::state::sendBuckets(const peer &to, const std::vector<std::uint16_t> &buckets,
                                    std::uint32_t sequence)
{
    membership_message empty;
    empty.kind = membership_kind::BucketData;
    membership_message data = empty;
    data.events.push_back(self);
    std::uint32_t packets = 0;
    std::uint16_t next = ViewBuckets;
    for (const std::uint16_t bucket : buckets) {
        if (packets >= settings.bucketPackets) {
            next = bucket;
            break;
        }
        for (const member_entry *entry : table.inBucket(bucket)) {
            member_event statement = entry->latest;
            if (statement.state == liveness::Dead)
                statement.announcement = nullptr;
            if (encodedBytes(data) + encodedBytes(statement) > MaxMembershipMessageBytes) {
                send(to, std::exchange(data, empty));
                ++packets;
            }
            data.events.push_back(std::move(statement));
        }
    }
    data.sequence = sequence;
    data.bucket = next;
    send(to, std::move(data));
}

void membership::state::onBucketRequest(const peer &from, const membership_message &message)
{
    if (message.sequence == 0)
        return sendBuckets(from, message.digests, 0);
    std::vector<std::uint16_t> buckets;
    for (std::uint16_t bucket = message.bucket; bucket < ViewBuckets; ++bucket)
        buckets.push_back(bucket);
    sendBuckets(from, buckets, message.sequence);
}

void membership::state::onBucketData(const membership_message &message)
{
    if (message.sequence == 0 || message.sequence != joinSequence || message.bucket <= joinBucket)
        return;
    joinBucket = message.bucket;
    joinSequence = 0;
    nextJoin
        = joinBucket < ViewBuckets ? now() + settings.joinInterval / 4 : absl::InfiniteFuture();
    // At the start, no member was known to which the own announcement could be forwarded.
    if (joinBucket == ViewBuckets)
        disseminate(self, true);
}

} // namespace hyssoppond
