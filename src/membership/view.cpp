/// @file Exchange of views: digests between random members, and the whole view for new members.
#include "membership_state.h"

#include <algorithm>
#include <utility>

namespace hyssoppond {
namespace {

// Buckets named in one request; their members fill the packets of one answer many times over.
constexpr std::size_t MaxRequestedBuckets = 32;

} // namespace

void membership::state::exchangeView()
{
    // The own zone may have restarted as a whole; the other zones then hold the complete view.
    const bool fresh = now() < rescanUntil;
    const bool local = !fresh && below(100) >= settings.remoteProbePercent;
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

// Asks for the next part of the whole view; a lost request or answer is asked for again elsewhere.
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

void membership::state::onViewDigest(const peer &from, const membership_message &what)
{
    const auto own = table.digestsWith(self);
    const std::size_t offset = below(ViewBuckets); // so that each bucket gets its turn
    std::vector<std::uint16_t> differing;
    for (std::size_t i = 0; i < ViewBuckets && differing.size() < MaxRequestedBuckets; ++i) {
        const auto bucket = static_cast<std::uint16_t>((i + offset) % ViewBuckets);
        if (what.digests[bucket] != own[bucket])
            differing.push_back(bucket);
    }
    if (differing.empty())
        return;
    // Views that differ widely, as after a partition, are exchanged again soon. Shortly after the
    // start, the member that was asked for the whole view may itself have been new: ask again.
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

// Sends whole buckets until the bound of packets is reached. The last packet of an answer to a
// joining member (`sequence` is not 0) names the bucket to ask for next.
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
            member_event told = entry->now;
            if (told.state == liveness::Dead)
                told.announcement = nullptr;
            if (encodedBytes(data) + encodedBytes(told) > MaxMembershipMessageBytes) {
                send(to, std::exchange(data, empty));
                ++packets;
            }
            data.events.push_back(std::move(told));
        }
    }
    data.sequence = sequence;
    data.bucket = next;
    send(to, std::move(data));
}

void membership::state::onBucketRequest(const peer &from, const membership_message &what)
{
    if (what.sequence == 0)
        return sendBuckets(from, what.digests, 0);
    std::vector<std::uint16_t> buckets;
    for (std::uint16_t bucket = what.bucket; bucket < ViewBuckets; ++bucket)
        buckets.push_back(bucket);
    sendBuckets(from, buckets, what.sequence);
}

void membership::state::onBucketData(const membership_message &what)
{
    if (what.sequence == 0 || what.sequence != joinSequence || what.bucket <= joinBucket)
        return;
    joinBucket = what.bucket;
    joinSequence = 0;
    nextJoin
        = joinBucket < ViewBuckets ? now() + settings.joinInterval / 4 : absl::InfiniteFuture();
    // At the start nobody was known to whom the own announcement could be forwarded.
    if (joinBucket == ViewBuckets)
        disseminate(self, true);
}

} // namespace hyssoppond
