/// @file Implementation of the entry of batch jobs.
#include "hyssoppond/batch/batch_entry_base.h"

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <utility>

namespace hyssoppond::batch {

namespace {

/// A submission is refused at once while an append has been without an outcome for this long.
constexpr absl::Duration MaxStoreStall = absl::Milliseconds(700);

/// An entry is not ready for new connections if its journal or configuration is older than this.
constexpr absl::Duration ReadyMaxStaleness = absl::Milliseconds(3500);

/// Calls are refused this long before the keys of the teams may be outdated.
constexpr absl::Duration KeyExpiryMargin = absl::Milliseconds(600);

/// Shortest and longest delay that a refusal advises.
constexpr absl::Duration MinRetryAfter = absl::Seconds(1);
constexpr absl::Duration MaxRetryAfter = absl::Seconds(3);

/// Shortest intervals between two reads of the journal: by the decider, by other entries without
/// wake-up messages, and by other entries with them. The status that an entry shows may be 3 s old.
constexpr absl::Duration DecidingReadInterval = absl::Milliseconds(15);
constexpr absl::Duration StandbyReadInterval = absl::Milliseconds(50);
constexpr absl::Duration StandbyReadIntervalWithWakes = absl::Milliseconds(500);

} // namespace

batch_entry::batch_entry(batch_entry_options options, store_port *store, loop_hooks hooks)
    : m_options(std::move(options))
    , m_hooks(std::move(hooks))
    , m_configFollower({m_options.configTopic}, store, m_hooks)
    , m_journal({m_options.journalTopic}, store, m_hooks)
    , m_writer(
          {m_options.journalTopic, absl::StrCat(m_options.entry.str(), "/", m_options.incarnation)},
          store, m_hooks)
    , m_decider({m_options.entry, m_options.journalTopic, HeartbeatTopic, "decider", "decider",
                 m_options.wakeAddress, m_options.isReserve, m_options.scheduler,
                 m_options.evacuateWithin},
                store, m_hooks, &m_state, &m_journal)
{
    m_configFollower.onLoaded = [this](const auto &records) {
        m_evacuations.load(records, m_configFollower.position());
        applyConfig(records);
    };
    m_configFollower.onRecords = [this](const auto &records) {
        m_evacuations.apply(records, records.back().offset + 1);
        applyConfig(records);
    };
    m_journal.onLoaded = [this](const auto &records) {
        m_state.clear();
        m_decider.onReloading();
        logDecision("journal loaded", "",
                    absl::StrCat(records.size(), " records, ", toString(m_journal.lastLoad())));
        applyJournal(records);
        m_journalLoadedAt = std::min(m_journalLoadedAt, m_hooks.now());
        m_decider.onReloaded();
        tick();
    };
    m_journal.onRecords = [this](const auto &records) {
        applyJournal(records);
        m_decider.onRecords();
        tick();
    };
    m_journal.onReachable = [this](bool reachable) {
        m_storeUnreachableSince = reachable ? absl::InfiniteFuture() : m_hooks.now();
        logDecision(reachable ? "store regained" : "store lost", "", "");
    };
    m_state.onMemberEnded = [this](const ended_member &ended) { m_decider.onMemberEnded(ended); };
    m_decider.setEvacuations(&m_evacuations);
    m_decider.configReadAt = [this] { return m_configFollower.currentAsOf(); };
    m_decider.sendWake = [this](const std::string &address, const std::string &message) {
        if (sendWake)
            sendWake(address, message);
    };
    const batch_record started
        = process_started {m_options.entry, m_options.incarnation, true, m_options.wakeAddress};
    m_writer.write(
        {{keyOf(started), encodeRecord(started), 0}}, absl::InfiniteFuture(),
        [](write_result, std::uint64_t) { /* the writer repeats it until it is stored */ });
    m_decider.onDecision
        = [this](const char *decision, const std::string &item, const std::string &detail) {
              logDecision(decision, item, detail);
          };
}

void batch_entry::logDecision(const char *decision, const std::string &item,
                              const std::string &detail) const
{
    if (onDecision)
        onDecision(decision, item, detail);
}

void batch_entry::applyConfig(const std::vector<stored_record> &records)
{
    for (const stored_record &storedRecord : records) {
        std::optional<site_config> config = decodeConfig(storedRecord);
        if (!config || (m_config && config->version < m_config->version))
            continue;
        logDecision("configuration in force", absl::StrCat(config->version),
                    absl::StrCat("offset ", storedRecord.offset));
        m_config = std::move(config);
        m_decider.setConfig(&*m_config);
    }
    m_decider.onRecords();
}

void batch_entry::applyJournal(const std::vector<stored_record> &records)
{
    // Submissions are applied first: a repeated submission can move the record of a job behind the
    // records of its runs.
    for (const bool submissions : {true, false}) {
        for (const stored_record &storedRecord : records) {
            if (storedRecord.key.starts_with("j:") != submissions)
                continue;
            if (storedRecord.value.empty()) {
                m_state.applyDrop(storedRecord.key);
                continue;
            }
            const result<batch_record> record = decodeRecord(storedRecord.value);
            if (!record) {
                logDecision("record ignored", storedRecord.key, record.error().message);
                continue;
            }
            if (const result<void> checked = checkRecord(*record); !checked) {
                logDecision("record ignored", storedRecord.key, checked.error().message);
                continue;
            }
            m_state.apply(*record, storedRecord.offset);
            if (const auto *eviction = std::get_if<agent_evicted>(&*record))
                m_decider.onEviction(*eviction);
            if (const auto *announced = std::get_if<agent_announced>(&*record))
                m_admission.onAnnounced(*announced);
            if (const auto *submitted = std::get_if<job_submitted>(&*record))
                m_recording.erase(submitted->job.id);
        }
    }
}

void batch_entry::receive(const peer_message &message)
{
    if (std::holds_alternative<wake_message>(message)) {
        onWake();
    } else if (const auto *query = std::get_if<decider_query>(&message)) {
        m_decider.onQuery(*query);
    } else if (const auto *answer = std::get_if<decider_answer>(&message)) {
        m_decider.onAnswer(*answer);
        tick();
    }
}

void batch_entry::tick()
{
    m_configFollower.tick();
    m_journal.tick();
    m_writer.tick();
    m_decider.tick();
    expireLookups();
    dropOldCancellations();
    const absl::Duration standbyInterval
        = m_options.wakeAddress.empty() ? StandbyReadInterval : StandbyReadIntervalWithWakes;
    m_journal.setMinReadInterval(m_decider.isDeciding() ? DecidingReadInterval : standbyInterval);
}

absl::Time batch_entry::nextDeadline() const
{
    return std::min({m_configFollower.nextDeadline(), m_journal.nextDeadline(),
                     m_writer.nextDeadline(), m_decider.nextDeadline(), nextLookupDeadline()});
}

std::vector<std::string> batch_entry::peerAddresses() const
{
    std::vector<std::string> addresses;
    for (const auto &[name, process] : m_state.processes()) {
        if (process.isEntry && name != m_options.entry && !process.wakeAddress.empty())
            addresses.push_back(process.wakeAddress);
    }
    return addresses;
}

void batch_entry::leave()
{
    m_leaving = true;
    m_decider.leave();
}

bool batch_entry::isReady() const
{
    const absl::Time now = m_hooks.now();
    return !m_leaving && m_config && m_journal.isLoaded()
        && now - m_journal.currentAsOf() < ReadyMaxStaleness
        && now - m_configFollower.currentAsOf() < ReadyMaxStaleness;
}

absl::Duration batch_entry::retryAfter() const
{
    if (m_storeUnreachableSince == absl::InfiniteFuture())
        return MinRetryAfter;
    // An outage is likely to last as long again as it has lasted so far.
    return std::clamp(m_hooks.now() - m_storeUnreachableSince, MinRetryAfter, MaxRetryAfter);
}

job_reply batch_entry::refusal(reason why, std::string message) const
{
    job_reply reply;
    reply.kind = reply_kind::Refused;
    reply.why = why;
    reply.message = std::move(message);
    reply.retryAfter = retryAfter();
    return reply;
}

job_reply batch_entry::replyFor(const error &problem)
{
    job_reply reply;
    reply.why = problem.why;
    reply.message = problem.message;
    switch (problem.why) {
    case reason::UnknownEndpoint:
        reply.kind = reply_kind::NoQueue;
        break;
    case reason::UnknownTeam:
        reply.kind = reply_kind::Unauthorized;
        break;
    case reason::UnknownJob:
        reply.kind = reply_kind::NoJob;
        break;
    default:
        reply.kind = reply_kind::Malformed;
    }
    return reply;
}

std::optional<job_reply> batch_entry::refusalOf(const job_call &call) const
{
    routed_call target;
    if (std::optional<job_reply> refused = findTarget(call, &target))
        return withUnsettledAttempts(call.kind, call.path, std::move(*refused));
    // A repeat of a known submission is answered without its body: a refusal for lack of space
    // would say that the job has not run.
    if (call.kind == call_kind::Submit) {
        if (const job_state *known = m_state.find(job_id(target.id)))
            return replyForKnown(*known, target.team);
    }
    return std::nullopt;
}

std::optional<job_reply> batch_entry::findTarget(const job_call &call, routed_call *target) const
{
    if (!m_config)
        return refusal(reason::LogUnavailable, "the configuration is not loaded yet; retry");
    const absl::Duration configAge = m_hooks.now() - m_configFollower.currentAsOf();
    if (configAge > m_options.apiKeyValidity - KeyExpiryMargin)
        return refusal(reason::LogUnavailable, "the configuration may be outdated; retry");
    result<routed_call> found = route(call);
    if (!found)
        return replyFor(found.error());
    *target = std::move(*found);
    const bool isPending
        = call.kind == call_kind::Pending || (call.kind == call_kind::Status && target->id.empty());
    if (!isPending && !isJobId(target->id))
        return replyFor(
            {call.kind == call_kind::Submit ? reason::InvalidArgument : reason::UnknownJob,
             "the job's id is malformed; use 16 hexadecimal digits", execution::NotRun,
             absl::InfiniteFuture(), 0});
    return std::nullopt;
}

job_reply batch_entry::withUnsettledAttempts(call_kind kind, const std::string &path,
                                             job_reply reply) const
{
    // The id is the end of the path, also where the queue is not known.
    const std::size_t idBegin = path.size() - std::min(path.size(), JobIdDigits);
    const bool isSettled = kind != call_kind::Submit || reply.kind != reply_kind::Refused
        || !m_recording.contains(job_id(path.substr(idBegin)));
    return isSettled ? std::move(reply) : unsettledReply();
}

job_reply batch_entry::unsettledReply()
{
    job_reply reply;
    reply.kind = reply_kind::Unknown;
    reply.why = reason::LogUnsettled;
    reply.message = "the store did not say whether the job was recorded; repeat the call";
    return reply;
}

void batch_entry::handle(job_call call, const responder &answer)
{
    const responder respond = [this, answer, kind = call.kind, path = call.path](job_reply reply) {
        answer(withUnsettledAttempts(kind, path, std::move(reply)));
    };
    routed_call target;
    if (const std::optional<job_reply> refused = findTarget(call, &target)) {
        respond(*refused);
        return;
    }
    if (call.kind == call_kind::Status && target.id.empty())
        call.kind = call_kind::Pending;
    switch (call.kind) {
    case call_kind::Submit:
        submit(target, std::move(call), respond);
        break;
    case call_kind::Status:
        status(target, call, respond);
        break;
    case call_kind::Cancel:
        cancel(target, call, respond);
        break;
    case call_kind::Pending:
        pending(target, respond);
        break;
    }
}

void batch_entry::submit(const routed_call &target, job_call call, const responder &respond)
{
    const job_id id(target.id);
    if (const job_state *known = m_state.find(id)) {
        respond(replyForKnown(*known, target.team));
        return;
    }
    if (!call.job) {
        respond(replyFor({reason::MalformedRequest, call.problem, execution::NotRun,
                          absl::InfiniteFuture(), 0}));
        return;
    }
    if (const result<void> checked = checkJob(*call.job); !checked) {
        respond(replyFor(checked.error()));
        return;
    }
    if (target.queue->needsAdvice) {
        respond(refusal(reason::WrongState,
                        "this version does not serve queues with advice; use another queue"));
        return;
    }
    const bool storeFails = !m_journal.isLoaded() || m_writer.isStalled(MaxStoreStall)
        || m_storeUnreachableSince != absl::InfiniteFuture();
    if (storeFails && !m_recording.contains(id)) {
        respond(refusal(reason::LogUnavailable, "the platform's store does not answer; retry"));
        return;
    }
    if (m_state.isCancelledEarly(id, target.team)) {
        respond(replyFor({reason::RequestIdReused,
                          "the job was cancelled before it was recorded; choose another id",
                          execution::NotRun, absl::InfiniteFuture(), 0}));
        return;
    }
    batch_job job = std::move(*call.job);
    job.id = id;
    job.queue = target.queue->name;
    job.team = target.team;
    job.submittedMs = absl::ToUnixMillis(m_hooks.wallNow());
    std::optional<admission_refusal> refused = admissionRefusal(job);
    if (refused)
        refuseAdmission(std::move(job), std::move(*refused), call.deadline, respond);
    else
        recordJob(std::move(job), call.deadline, respond);
}

void batch_entry::withJob(const routed_call &target, absl::Time deadline, const responder &respond,
                          const std::function<void(const job_state &)> &found,
                          const std::function<void()> &unknown)
{
    const job_id id(target.id);
    const auto answer = [target, respond, found](const job_state &known) {
        // A job of another team is answered as if it did not exist.
        if (mayAccess(target, known))
            found(known);
        else
            respond(noJobReply());
    };
    if (const job_state *known = m_state.find(id)) {
        answer(*known);
        return;
    }
    // Another entry may have accepted the job since the last read of the journal.
    auto call = std::make_shared<lookup>();
    call->deadline = deadline - AnswerMargin;
    call->done = [this, id, respond, answer, unknown](bool current) {
        if (const job_state *known = m_state.find(id))
            answer(*known);
        else if (current)
            unknown();
        else
            respond(refusal(reason::LogUnavailable,
                            "the store does not say whether the job exists; retry"));
    };
    addLookup(std::move(call));
}

job_reply batch_entry::noJobReply()
{
    return replyFor({reason::UnknownJob, "no such job; submit it", execution::NotRun,
                     absl::InfiniteFuture(), 0});
}

void batch_entry::status(const routed_call &target, const job_call &call, const responder &respond)
{
    const auto found = [respond](const job_state &job) {
        job_reply reply;
        reply.kind = reply_kind::Status;
        reply.status = job.status();
        respond(reply);
    };
    withJob(target, call.deadline, respond, found, [this, target, respond] {
        if (m_recording.contains(job_id(target.id)))
            respond(refusal(reason::LogUnavailable, "the job is being recorded; retry"));
        else
            respond(noJobReply());
    });
}

void batch_entry::pending(const routed_call &target, const responder &respond) const
{
    if (!m_journal.isLoaded()) {
        respond(refusal(reason::LogUnavailable, "the journal is not loaded yet; retry"));
        return;
    }
    job_reply reply;
    reply.kind = reply_kind::Pending;
    reply.pending = m_state.pendingJobs(target.queue->name);
    respond(reply);
}

} // namespace hyssoppond::batch
