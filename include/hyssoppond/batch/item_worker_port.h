/// @file Interface to a worker that runs items under leases.
#pragma once

#include "hyssoppond/batch/batch_type.h"

#include <absl/time/time.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace hyssoppond::batch {

/// Identifies the run of one item in the orders to a worker.
struct item_run
{
    unit_id unit;             ///< for a member of a gang: the gang
    std::uint32_t member = 0; ///< index of the item in its step
    std::uint32_t run = 0;

    auto operator<=>(const item_run &) const = default;
};

/// What is known about an order after the worker's answer or its absence.
enum class order_outcome : std::uint8_t {
    Done,
    StaleToken,      ///< the worker has seen a higher fencing token
    StaleRun,        ///< this or a later run of the item has ended or was stopped there
    LeaseExpired,    ///< the lease of the order has already expired
    NoCapacity,      ///< nothing was done
    Unhealthy,       ///< the worker is unhealthy or out of reach; nothing was done
    WorkerRestarted, ///< the worker has restarted; nothing was done
    Rejected,        ///< the worker does not accept such an order
    NoAnswer,        ///< it may have been carried out, or may be seconds later
    NotListening,    ///< no process takes connections at the worker's address; nothing was done
};

struct start_order
{
    item_run run;
    std::string payload;
    std::string checkpoint;
    std::int64_t leaseUntilMs = 0; ///< on the worker's clock; applies to all runs there
    std::uint64_t fencingToken = 0;
    std::string worker; ///< name of the worker incarnation that the order is for
    absl::Time deadline;
};

struct stop_order
{
    item_run run;
    std::uint64_t fencingToken = 0;
    std::string worker;
    absl::Time deadline;
};

struct order_answer
{
    order_outcome outcome = order_outcome::NoAnswer;
    std::optional<std::int64_t> workerClockMs;
};

struct poll_request
{
    std::optional<std::int64_t> leaseUntilMs;
    std::uint64_t fencingToken = 0;
    std::uint64_t acknowledgedEnd = 0; ///< the worker may forget ends up to this number
    absl::Duration wait;               ///< how long the worker may wait for an end
    std::string worker;
    absl::Time deadline;
    bool freshConnection = false;
};

struct running_item
{
    item_run run;
    std::string checkpoint;
    int percent = 0;
};

struct ended_item
{
    std::uint64_t number = 0;
    item_run run;
    run_end how = run_end::Failed;
    std::string checkpoint;
};

struct poll_answer
{
    order_outcome outcome = order_outcome::NoAnswer;
    std::optional<std::int64_t> workerClockMs;
    std::optional<unix_ms> workerStartMs; ///< of the worker incarnation that answered, if known
    std::vector<running_item> running;
    std::vector<ended_item> ended;
    bool complete = true;  ///< false: an entry of the lists could not be read and is left out
    bool moreEnds = false; ///< the worker may have left out ends after those of the list
};

/// The worker of an agent. Completions run on the caller's thread, once per call. The unit of a run
/// that the worker lists has the member's index, as the worker does not know the units of gangs.
struct item_worker_port
{
    std::function<void(start_order, std::function<void(order_answer)>)> start;
    std::function<void(stop_order, std::function<void(order_answer)>)> stop;
    std::function<void(poll_request, std::function<void(poll_answer)>)> poll;
};

} // namespace hyssoppond::batch
