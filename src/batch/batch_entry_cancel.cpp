/// @file Cancelling jobs, also those whose submission is not recorded yet.
#include "hyssoppond/batch/batch_entry_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace hyssoppond::batch {

namespace {

/// Time after which the store drops an early cancellation. A submission that is recorded later than
/// that is not void.
constexpr absl::Duration EarlyCancellationLifetime = absl::Hours(1);

/// Limit for each team. One takes some 200 bytes in each entry and in the store.
constexpr std::size_t MaxEarlyCancellations = 2'000;

/// Interval between two searches for early cancellations that are too old, and the most that are
/// dropped in one of them.
constexpr absl::Duration DropInterval = absl::Seconds(30);
constexpr std::size_t MaxDropsAtOnce = 200;

} // namespace

void batch_entry::cancel(const routed_call &target, const job_call &call, const responder &respond)
{
    const absl::Time deadline = call.deadline - AnswerMargin;
    const auto found
        = [this, respond, deadline](const job_state &job) { cancelKnown(job, deadline, respond); };
    withJob(target, call.deadline, respond, found,
            [this, target, deadline, respond] { cancelEarly(target, deadline, respond); });
}

void batch_entry::cancelKnown(const job_state &job, absl::Time deadline, const responder &respond)
{
    job_reply reply;
    reply.kind = reply_kind::Cancelled;
    if (job.cancelled) {
        respond(reply);
        return;
    }
    if (job.isOver()) {
        respond(replyFor({reason::UnknownJob, "the job has ended; there is nothing to cancel",
                          execution::Ran, absl::InfiniteFuture(), 0}));
        return;
    }
    writeCancellation({job.job.id}, deadline, respond, [reply] { return reply; });
}

void batch_entry::cancelEarly(const routed_call &target, absl::Time deadline,
                              const responder &respond)
{
    const job_id id(target.id);
    const auto ofTeam = m_state.earlyCancellations().find(target.caller);
    const std::size_t count
        = ofTeam == m_state.earlyCancellations().end() ? 0 : ofTeam->second.size();
    if (count >= MaxEarlyCancellations && !ofTeam->second.contains(id)) {
        unix_ms oldestMs = absl::ToUnixMillis(m_hooks.wallNow());
        for (const auto &[job, cancelledMs] : ofTeam->second)
            oldestMs = std::min(oldestMs, cancelledMs);
        job_reply reply = refusal(reason::Overloaded,
                                  "the team has cancelled too many unknown jobs; retry later");
        reply.retryAfter = std::max(reply.retryAfter,
                                    absl::FromUnixMillis(oldestMs) + EarlyCancellationLifetime
                                        - m_hooks.wallNow());
        respond(reply);
        return;
    }
    // The submission may have been recorded just before. Then the job is cancelled by this record.
    writeCancellation(
        {id, early_cancellation {target.caller, absl::ToUnixMillis(m_hooks.wallNow())}}, deadline,
        respond, [this, id, target] {
            const job_state *known = m_state.find(id);
            job_reply reply;
            reply.kind = reply_kind::Cancelled;
            return known != nullptr && mayAccess(target, *known) ? reply : noJobReply();
        });
}

void batch_entry::writeCancellation(const job_cancelled &cancelled, absl::Time deadline,
                                    const responder &respond,
                                    const std::function<job_reply()> &recordedReply)
{
    const batch_record record = cancelled;
    m_writer.write(
        {{keyOf(record), encodeRecord(record), 0}}, deadline,
        [this, id = cancelled.job, isEarly = cancelled.early.has_value(), respond,
         recordedReply](write_result writeResult, std::uint64_t offset) {
            job_reply answer;
            if (writeResult == write_result::Written) {
                logDecision(isEarly ? "job cancelled early" : "job cancelled", id.str(),
                            absl::StrCat("offset ", offset));
                answer = recordedReply();
            } else if (writeResult == write_result::NotWritten) {
                answer
                    = refusal(reason::LogUnavailable, "the cancellation was not recorded; retry");
            } else {
                answer.kind = reply_kind::Unknown;
                answer.why = reason::LogUnsettled;
                answer.message
                    = "the store did not say whether the cancellation was recorded; repeat the "
                      "call";
            }
            respond(answer);
        });
}

void batch_entry::dropOldCancellations()
{
    if (!m_decider.isDeciding() || m_hooks.now() < m_nextDropAt)
        return;
    m_nextDropAt = m_hooks.now() + DropInterval;
    const unix_ms oldestMs = absl::ToUnixMillis(m_hooks.wallNow() - EarlyCancellationLifetime);
    std::vector<stored_record> drops;
    for (const auto &[team, jobs] : m_state.earlyCancellations()) {
        for (const auto &[id, cancelledMs] : jobs) {
            // A job that was recorded after all has to be cancelled in its own right before.
            const job_state *job = m_state.find(id);
            if (cancelledMs < oldestMs && drops.size() < MaxDropsAtOnce
                && (job == nullptr || !job->needsCancellation))
                drops.push_back(
                    {keyOf(job_cancelled {id, early_cancellation {team, cancelledMs}}), "", 0});
        }
    }
    if (drops.empty())
        return;
    logDecision("early cancellations dropped", "", absl::StrCat(drops.size()));
    m_writer.write(std::move(drops), m_hooks.now() + DropInterval,
                   [](write_result, std::uint64_t) { /* the next search finds them again */ });
}

} // namespace hyssoppond::batch
