/// @file Interface to the platform's append-only log service.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/base/id_type.h"

#include <functional>
#include <string>
#include <vector>

namespace hyssoppond {

/// One record of the log.
struct log_record
{
    journal_offset offset = 0; ///< 1 for the first record of the log
    std::string payload;
};

/// Records from one read.
struct log_batch
{
    std::vector<log_record> records; ///< in offset order, without gaps
    journal_offset oldest = 1;       ///< oldest offset that the log still keeps
    journal_offset next = 1;         ///< offset that the next append will get
};

/// The platform's log. Completions may come at any time, on any thread that the adapter documents,
/// or never; callers keep their own deadlines.
class log_port
{
public:
    virtual ~log_port() = default;

    /// Appends one payload and completes with its offset. An error with execution::Unknown means
    /// that the append may have taken effect or may still do so.
    virtual void append(std::string payload, absl::Time deadline,
                        std::function<void(result<journal_offset>)> done)
        = 0;

    /// Reads up to `maxRecords` records from offset `from` on. Fails with reason::Expired if `from`
    /// is older than the oldest record kept. An empty batch means that there is no such record yet.
    virtual void read(journal_offset from, std::size_t maxRecords, absl::Time deadline,
                      std::function<void(result<log_batch>)> done)
        = 0;
};

} // namespace hyssoppond
