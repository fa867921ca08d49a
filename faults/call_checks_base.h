/// @file Load, message faults and checks of the recorded answers and runs, for the cells of calls.
#pragma once

#include "cell_base.h"

#include "call_site_base.h"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace hyssoppond::faults {

/// Kinds of messages of the call protocol, in the order of the alternatives of call_message.
inline const std::vector<std::string> CallSteps {"request", "response", "refused", "fence",
                                                 "fenced",  "query",    "reserve", "reserved"};

/// What happens to a message that a rule matches. Cross sends it to the other entries instead.
enum class message_fault : std::uint8_t { None, Lose, Duplicate, Delay, Truncate, Cross, Corrupt };

/// Applies a fault to messages of one kind with the given probability.
struct message_rule
{
    std::size_t kind = 0; ///< index in CallSteps
    message_fault fault = message_fault::None;
    double probability = 1;
    absl::Duration delay = absl::Milliseconds(200); ///< of Delay and Duplicate
};

/// Applies rules to the messages of a site and runs actions at the first message of a kind.
class message_fault_injector
{
public:
    explicit message_fault_injector(call_site *site);

    void add(message_rule rule) { m_rules.push_back(rule); }
    void clear() { m_rules.clear(); }
    /// Runs `action` when the next message of this kind is sent at or after `from`.
    void atNext(std::size_t kind, absl::Time from,
                std::function<void(const process_id &, const process_id &)> action);
    std::size_t seen(std::size_t kind) const { return m_seen[kind]; }

private:
    struct trigger
    {
        std::size_t kind;
        absl::Time from;
        std::function<void(const process_id &, const process_id &)> action;
    };

    bool filter(const process_id &from, const process_id &to, const call_message &message);
    bool apply(const message_rule &rule, const process_id &from, const process_id &to,
               const call_message &message);
    void sendLater(const process_id &from, const process_id &to, call_message message,
                   absl::Duration delay);

    call_site *m_site;
    bool m_bypass = false;
    std::vector<message_rule> m_rules;
    std::vector<trigger> m_triggers;
    std::vector<std::size_t> m_seen;
};

/// Calls that a cell submits.
struct load_options
{
    std::size_t calls = 60;
    absl::Duration span = absl::Seconds(3); ///< over which they are submitted
    absl::Duration deadline = absl::Seconds(4);
    absl::Duration meanService = absl::Milliseconds(60);
    bool retryElsewhere = true; ///< callers send an id again at another entry
    bool repeatable = true;     ///< includes repeatable calls
    bool bound = true;          ///< includes calls bound by their id
    bool tokens = true;         ///< includes calls with tokens
};

/// Schedules the load on the site's clock.
void addLoad(call_site &site, const load_options &options);

/// Index of the agent among the two ends of a message.
std::size_t agentOf(const call_site &site, const process_id &from, const process_id &to);

/// A site with few slots, so that agents refuse calls.
site_options smallSite();

/// An event that is triggered by a message between two processes.
using call_event = std::function<void(call_site &, const process_id &from, const process_id &to)>;

/// Checks of the recorded answers and runs; each returns what was violated, or an empty string.
std::string checkAnswers(const call_site &site);  ///< I3
std::string checkNotRun(const call_site &site);   ///< I4
std::string checkRunsOnce(const call_site &site); ///< I5
std::string checkLeaving(const call_site &site);  ///< I6

/// The check of an invariant "I3" to "I6".
std::string checkInvariant(const std::string &invariant, const call_site &site);

} // namespace hyssoppond::faults
