/// @file Encoding of the bodies of remote procedure calls in JSON or binary protobuf.
#pragma once

#include "hyssoppond/base/error_type.h"

#include "hyssoppond.pb.h"

#include <google/protobuf/message.h>

#include <string>

namespace hyssoppond {

/// Encoding of a body; Binary is the binary format of protobuf.
enum class body_encoding : std::uint8_t { Json, Binary };

/// Returns the value of the HTTP header Content-Type for an encoding.
const char *contentTypeOf(body_encoding encoding);

/// Checks that a body of a message of `type` has few fields and little nesting, since the parsed
/// form of many short fields takes many times the memory of the body. Error: MalformedRequest.
result<void> checkBodyBounds(const std::string &body, body_encoding encoding,
                             const google::protobuf::Descriptor *type);

/// Decodes a request within the bounds of checkBodyBounds(). Errors: MalformedRequest, or
/// UnknownField if the schema lacks a field.
result<void> decodeBody(const std::string &body, body_encoding encoding,
                        google::protobuf::Message *message);

/// Decodes an answer. Unknown fields are ignored, so that an older client can read the answers of a
/// newer server. Error: TruncatedAnswer for a binary body, MalformedRequest for a JSON body.
result<void> decodeAnswer(const std::string &body, body_encoding encoding,
                          google::protobuf::Message *message);

/// Encodes a message. A message that has no JSON form is encoded as "{}".
std::string encodeBody(const google::protobuf::Message &message, body_encoding encoding);

/// Converts an error to its message. The retry time becomes a delay from `now` in ms, or -1 if a
/// repetition does not help.
v1::Error toMessage(const error &problem, absl::Time now);

/// Converts a message to its error; inverse of toMessage(). A reason that this version does not
/// know becomes reason::Internal.
error fromMessage(const v1::Error &message, absl::Time now);

} // namespace hyssoppond
