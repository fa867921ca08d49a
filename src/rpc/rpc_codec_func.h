/// @file Bodies of remote procedure calls, in JSON or binary.
#pragma once

#include "hyssoppond/base/error_type.h"

#include "hyssoppond.pb.h"

#include <google/protobuf/message.h>

#include <string>

namespace hyssoppond {

/// Encoding of a body.
enum class body_encoding : std::uint8_t { Json, Binary };

/// Content type of an encoding.
const char *contentTypeOf(body_encoding encoding);

/// Decodes a request. Refuses malformed bodies and unknown fields.
result<void> decodeBody(const std::string &body, body_encoding encoding,
                        google::protobuf::Message *message);

/// Decodes an answer. Unknown fields are ignored, so that an older client reads a newer server.
result<void> decodeAnswer(const std::string &body, body_encoding encoding,
                          google::protobuf::Message *message);

/// Encodes a message.
std::string encodeBody(const google::protobuf::Message &message, body_encoding encoding);

/// Error as its message; `now` turns the retry time into a wait.
v1::Error toMessage(const error &problem, absl::Time now);

/// Inverse of toMessage().
error fromMessage(const v1::Error &message, absl::Time now);

} // namespace hyssoppond
