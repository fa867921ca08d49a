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
    std::vector<address> entries; ///< call() starts at a random entry, get() at the first
    bool json = false;            ///< bodies in JSON instead of binary protobuf
};

/// Says whether a request may be sent again if its answer did not arrive.
enum class repetition : std::uint8_t {
    Allowed, ///< idempotent by its nature or through its request id
    Forbidden,
};

/// Blocking client. Only one thread at a time may use an object.
class rpc_client
{
public:
    explicit rpc_client(rpc_client_options options);
    ~rpc_client();
    rpc_client(const rpc_client &) = delete;
    rpc_client &operator=(const rpc_client &) = delete;

    /// Calls `path` with `request` and fills `answer`. Retries at the next entry until `deadline`
    /// when the request did not run and a retry can help, also after a failed connection. If
    /// `mayRepeat` allows it, a request that ran or may have run is sent again as well. After a
    /// failed attempt a new connection is used. Errors: the typed error of the server,
    /// reason::ConnectionFailed, reason::InvalidArgument if there is no entry, or an error of
    /// decoding the answer.
    result<void> call(const std::string &path, const google::protobuf::Message &request,
                      google::protobuf::Message *answer, absl::Time deadline, repetition mayRepeat);

    /// Sends GET `path` to the entries in their order and returns the body of the first answer with
    /// status 200. Each entry may take until `deadline`. Error: reason::ConnectionFailed, or
    /// reason::InvalidArgument if there is no entry.
    result<std::string> get(const std::string &path, absl::Time deadline);

private:
    struct implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace hyssoppond
