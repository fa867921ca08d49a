/// @file Client of the remote procedure calls, on libcurl.
#pragma once

#include "hyssoppond/base/error_type.h"
#include "hyssoppond/world/machine_type.h"

#include <google/protobuf/message.h>

#include <memory>
#include <string>
#include <vector>

namespace hyssoppond {

/// Settings of a client.
struct rpc_client_options
{
    std::vector<address> entries; ///< tried in this order, from a random one on
    bool json = false;            ///< bodies in JSON instead of binary
};

/// Whether a request may be sent again when its answer did not come.
enum class repetition : std::uint8_t {
    Allowed, ///< idempotent, by its nature or by its request id
    Forbidden,
};

/// Blocking client. One thread at a time.
class rpc_client
{
public:
    explicit rpc_client(rpc_client_options options);
    ~rpc_client();
    rpc_client(const rpc_client &) = delete;
    rpc_client &operator=(const rpc_client &) = delete;

    /// Calls `path` with `request` and fills `answer`. Entries that cannot be reached are skipped;
    /// after a timeout or a retryable refusal the request goes to the next entry on a new
    /// connection, if `mayRepeat` allows it, until `deadline`.
    /// Error: the server's typed error, or reason::ConnectionFailed.
    result<void> call(const std::string &path, const google::protobuf::Message &request,
                      google::protobuf::Message *answer, absl::Time deadline, repetition mayRepeat);

    /// Body of GET `path` from the first entry that answers.
    result<std::string> get(const std::string &path, absl::Time deadline);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace hyssoppond
