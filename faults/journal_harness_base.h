/// @file Processes that share one log and one network, for the cells of journal and configuration.
#pragma once

#include "cell_base.h"
#include "hyssoppond/fakes/fake_log_base.h"
#include "hyssoppond/fakes/fake_network_base.h"
#include "hyssoppond/journal/config_gossip_base.h"
#include "hyssoppond/journal/journal_client_base.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::faults {

/// A version of a key that came into force in a process.
struct config_observation
{
    absl::Time at;
    std::string process;
    std::string key;
    std::string value;
    journal_offset version = 0;
};

/// Settings of a harness.
struct harness_options
{
    std::size_t entries = 4;
    std::size_t agents = 8; ///< receive the configuration only by gossip
    journal::journal_options client;
    journal::gossip_options gossip;
    journal::cluster_options cluster;
    bool newestWins = true;
};

/// Answer to a caller or operator; empty until it arrives.
using append_answer = std::optional<result<journal::append_outcome>>;

/// Entries and agents in virtual time. Entry i is "e<i>", agent i is "a<i>"; the zone of both is
/// i mod 4.
class journal_harness
{
public:
    journal_harness(std::uint64_t seed, harness_options options);

    virtual_clock clock;
    fake_log log;
    fake_network<std::string> network; ///< carries encoded messages
    std::vector<config_observation> observations;

    std::vector<std::string> names() const;
    /// Starts or restarts a process without any state and with a new incarnation.
    void start(const std::string &name);
    void stop(const std::string &name);
    /// Stops the timers of a process and holds back the answers of its log requests.
    void pause(const std::string &name);
    void resume(const std::string &name);
    /// Cuts or heals all links between the processes of `zone` and the others.
    void cutZone(std::size_t zone);
    void heal() { network.restoreAll(); }

    /// Appends through an entry; the returned object receives the answer.
    std::shared_ptr<append_answer> append(const std::string &entry, journal::record_body body,
                                          absl::Duration within = absl::Seconds(10));
    std::shared_ptr<append_answer> publish(const std::string &entry, const std::string &key,
                                           const std::string &value, journal_offset expected,
                                           const std::string &request);
    const journal::cluster_state &state(const std::string &entry) const;
    const journal::config_store &config(const std::string &name) const;
    /// State after replaying all records that the log accepted, also those that retention dropped.
    const journal::cluster_state &replayedState();

    /// Descriptions of violations of I8, empty if there is none: a process whose version of a key
    /// decreased in `observations`, and a running process whose version of `key` is not `version`.
    std::string reverted() const;
    std::string notInForce(const std::string &key, journal_offset version) const;

private:
    struct process
    {
        bool running = false;
        bool paused = false;
        std::uint64_t generation = 0;
        incarnation_number incarnation = 0;
        std::unique_ptr<journal::cluster_state> state;
        std::unique_ptr<journal::journal_client> client;
        std::unique_ptr<journal::config_store> store;
        std::unique_ptr<journal::config_gossip> gossip;
        std::vector<std::function<void()>> deferredCompletions; ///< completions while paused
    };

    void startClient(const std::string &name, process &proc);
    void startGossip(const std::string &name, process &proc);
    void onRecord(const std::string &name, const journal::journal_record &record,
                  const journal::verdict &decision);
    void adoptSnapshot(const std::string &name);
    std::vector<process_id> peersOf(const std::string &name, std::size_t count);

    harness_options m_options;
    std::map<std::string, process> m_processes;
    journal::cluster_state m_replayedState;
};

} // namespace hyssoppond::faults
