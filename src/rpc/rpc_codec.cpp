/// @file Encoding and decoding of the bodies of remote procedure calls.
#include "rpc_codec_func.h"

#include <absl/strings/str_format.h>
#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/unknown_field_set.h>
#include <google/protobuf/util/json_util.h>

#include <vector>

namespace hyssoppond {

namespace pb = google::protobuf;

namespace {

/// Returns true if the message or a nested message has a field that the schema does not have.
bool hasUnknownFields(const pb::Message &message)
{
    const pb::Reflection *reflection = message.GetReflection();
    if (!reflection->GetUnknownFields(message).empty())
        return true;
    std::vector<const pb::FieldDescriptor *> fields;
    reflection->ListFields(message, &fields);
    for (const pb::FieldDescriptor *field : fields) {
        if (field->cpp_type() != pb::FieldDescriptor::CPPTYPE_MESSAGE)
            continue;
        if (!field->is_repeated()) {
            if (hasUnknownFields(reflection->GetMessage(message, field)))
                return true;
            continue;
        }
        for (int i = 0; i < reflection->FieldSize(message, field); ++i) {
            if (hasUnknownFields(reflection->GetRepeatedMessage(message, field, i)))
                return true;
        }
    }
    return false;
}

/// Parses a JSON body; an empty body is an empty message. Errors: UnknownField, unless
/// `ignoreUnknown`, or MalformedRequest.
result<void> parseJson(const std::string &body, bool ignoreUnknown, pb::Message *message)
{
    pb::util::JsonParseOptions options;
    options.ignore_unknown_fields = ignoreUnknown;
    const auto status = pb::util::JsonStringToMessage(body.empty() ? "{}" : body, message, options);
    if (status.ok())
        return {};
    const std::string text = status.message().as_string();
    const bool unknown = text.find("Cannot find field") != std::string::npos;
    return fail(unknown ? reason::UnknownField : reason::MalformedRequest,
                absl::StrFormat("body does not match %s of the schema: %s; see "
                                "schema/hyssoppond.proto",
                                message->GetTypeName(), text));
}

} // namespace

const char *contentTypeOf(body_encoding encoding)
{
    return encoding == body_encoding::Json ? "application/json" : "application/x-protobuf";
}

result<void> decodeBody(const std::string &body, body_encoding encoding, pb::Message *message)
{
    // protobuf logs malformed input to standard error. The log is disabled because the caller gets
    // a typed error, which the server counts.
    [[maybe_unused]] static pb::LogHandler *const previousLogHandler = pb::SetLogHandler(nullptr);
    if (auto bounded = checkBodyBounds(body, encoding, message->GetDescriptor()); !bounded)
        return bounded;
    if (encoding == body_encoding::Json)
        return parseJson(body, false, message);
    if (!message->ParseFromString(body)) {
        return fail(reason::MalformedRequest,
                    absl::StrFormat("body is not a valid %s; encode it with "
                                    "schema/hyssoppond.proto, strings in UTF-8",
                                    message->GetTypeName()));
    }
    if (hasUnknownFields(*message)) {
        return fail(reason::UnknownField,
                    absl::StrFormat("body has a field that %s does not have; use the schema of "
                                    "this server's version",
                                    message->GetTypeName()));
    }
    return {};
}

result<void> decodeAnswer(const std::string &body, body_encoding encoding, pb::Message *message)
{
    if (encoding == body_encoding::Json)
        return parseJson(body, true, message);
    if (!message->ParseFromString(body))
        return fail(reason::TruncatedAnswer, "the answer is not a valid message; ask again");
    return {};
}

std::string encodeBody(const pb::Message &message, body_encoding encoding)
{
    if (encoding == body_encoding::Binary)
        return message.SerializeAsString();
    std::string text;
    pb::util::JsonPrintOptions options;
    options.always_print_primitive_fields = true;
    options.preserve_proto_field_names = true;
    const auto status = pb::util::MessageToJsonString(message, &text, options);
    return status.ok() ? text : std::string("{}");
}

v1::Error toMessage(const error &problem, absl::Time now)
{
    v1::Error message;
    message.set_reason(std::string(ReasonNames.name(problem.why)));
    message.set_message(problem.message);
    message.set_execution(static_cast<v1::Execution>(problem.state));
    const bool neverRetry = problem.retryAt == absl::InfiniteFuture();
    const auto retryAfter = std::max(absl::ZeroDuration(), problem.retryAt - now);
    message.set_retry_after_ms(neverRetry ? -1 : absl::ToInt64Milliseconds(retryAfter));
    message.set_winning_version(problem.winningVersion);
    return message;
}

error fromMessage(const v1::Error &message, absl::Time now)
{
    error problem;
    problem.why = ReasonNames.find(message.reason()).value_or(reason::Internal);
    problem.message = message.message();
    problem.state = static_cast<execution>(message.execution());
    problem.retryAt = message.retry_after_ms() < 0
        ? absl::InfiniteFuture()
        : now + absl::Milliseconds(message.retry_after_ms());
    problem.winningVersion = message.winning_version();
    return problem;
}

} // namespace hyssoppond
