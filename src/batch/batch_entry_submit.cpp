/// @file Recording or refusing the submissions of batch jobs.
#include "hyssoppond/batch/batch_entry_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>

namespace hyssoppond::batch {

namespace {

/// Longest wait for a submission to be recorded; a quarter of the shortest objective, about 4 s.
constexpr absl::Duration RecordTimeout = absl::Milliseconds(1500);

} // namespace

job_reply batch_entry::replyForKnown(const job_state &known, const team_id &team)
{
    job_reply reply;
    reply.kind = reply_kind::Accepted;
    if (known.job.team != team)
        reply = replyFor({reason::RequestIdReused, "the id belongs to another job; choose another",
                          execution::NotRun, absl::InfiniteFuture(), 0});
    return reply;
}

std::optional<admission_refusal> batch_entry::admissionRefusal(const batch_job &job)
{
    // An earlier attempt with this id may still be recorded, which would make a refusal untrue.
    if (m_recording.contains(job.id))
        return std::nullopt;
    return m_admission.check({&job, &m_state, &*m_config, &m_decider.runTimes(),
                              m_hooks.now() - m_journalLoadedAt, job.submittedMs,
                              m_hooks.random()});
}

void batch_entry::refuseAdmission(batch_job job, admission_refusal refused, absl::Time callDeadline,
                                  const responder &respond)
{
    // Another entry may have accepted the job since the last read of the journal.
    m_journal.barrier(callDeadline - RecordTimeout - AnswerMargin,
                      [this, job = std::move(job), refused = std::move(refused), callDeadline,
                       respond](bool current) mutable {
                          if (const job_state *known = m_state.find(job.id)) {
                              respond(replyForKnown(*known, job.team));
                              return;
                          }
                          if (!current || m_recording.contains(job.id)) {
                              recordJob(std::move(job), callDeadline, respond);
                              return;
                          }
                          logDecision("job refused", job.id.str(),
                                      absl::StrCat(std::string(ReasonNames.name(refused.why)), ": ",
                                                   refused.message));
                          job_reply reply = refusal(refused.why, std::move(refused.message));
                          reply.retryAfter = refused.retryAfter;
                          respond(reply);
                      });
}

void batch_entry::recordJob(batch_job job, absl::Time callDeadline, const responder &respond)
{
    const batch_step &first = job.steps.front();
    std::string summary = absl::StrCat("queue ", job.queue, ", ", first.count, " items of ",
                                       first.item.accelerators, " accelerators, ", first.estimateMs,
                                       " ms, ", job.steps.size(), " steps");
    const job_id id = job.id;
    job_submitted submitted {std::move(job), std::nullopt};
    const queue_policy *queue = m_config->findQueue(submitted.job.queue);
    if (queue == nullptr) {
        // Removed since the call was routed; an earlier attempt may still be recorded.
        job_reply reply;
        reply.kind = reply_kind::Unknown;
        reply.why = reason::LogUnsettled;
        reply.message = "the queue was removed during the call; repeat the call";
        respond(reply);
        return;
    }
    submitted.policy = *queue;
    const batch_record record = std::move(submitted);
    m_recording.insert(id);
    // A caller may be unable to repeat a call of unknown outcome, so the writer waits for the
    // outcome as long as the caller waits.
    const absl::Time settleBy = callDeadline - AnswerMargin;
    const absl::Time deadline = std::min(settleBy, m_hooks.now() + RecordTimeout);
    m_writer.write(
        {{keyOf(record), encodeRecord(record), 0}}, deadline, settleBy,
        [this, id, respond, summary = std::move(summary)](write_result writeResult,
                                                          std::uint64_t offset) {
            job_reply reply;
            if (writeResult == write_result::Written) {
                reply.kind = reply_kind::Accepted;
                logDecision("job accepted", id.str(), absl::StrCat(summary, ", offset ", offset));
            } else if (writeResult == write_result::NotWritten) {
                if (const auto attempt = m_recording.find(id); attempt != m_recording.end())
                    m_recording.erase(attempt);
                reply = refusal(reason::LogUnavailable, "the job was not recorded; retry");
            } else {
                reply = unsettledReply();
                logDecision("job unsettled", id.str(), "the store did not confirm the record");
            }
            respond(reply);
        });
}

} // namespace hyssoppond::batch
