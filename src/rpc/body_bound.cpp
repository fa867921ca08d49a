/// @file Bounds on the structure of request bodies, checked before a body is parsed.
#include "rpc_codec_func.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/wire_format_lite.h>

#include <algorithm>

namespace hyssoppond {

namespace pb = google::protobuf;
using wire = pb::internal::WireFormatLite;

namespace {

/// Fields and list elements of one body. Requests of the schema have fewer than 20 fields.
constexpr std::size_t MaxBodyFields = 10'000;
/// Nested objects and lists of one body. Requests of the schema nest two objects.
constexpr std::size_t MaxBodyDepth = 32;

/// Reads the fields of a message and of its nested messages. Returns false if there are more than
/// `fields`, from which it subtracts. Malformed input counts as short, since the parser refuses it.
bool scanFields(pb::io::CodedInputStream *input, const pb::Descriptor *type, std::size_t depth,
                std::size_t *fields)
{
    if (depth > MaxBodyDepth)
        return false;
    while (const pb::uint32 tag = input->ReadTag()) {
        if ((*fields)-- == 0)
            return false;
        const auto *field = type->FindFieldByNumber(wire::GetTagFieldNumber(tag));
        const bool nested = field != nullptr
            && field->cpp_type() == pb::FieldDescriptor::CPPTYPE_MESSAGE
            && wire::GetTagWireType(tag) == wire::WIRETYPE_LENGTH_DELIMITED;
        if (!nested) {
            if (!wire::SkipField(input, tag))
                return true;
            continue;
        }
        const auto limit = input->ReadLengthAndPushLimit();
        if (!scanFields(input, field->message_type(), depth + 1, fields))
            return false;
        if (!input->CheckEntireMessageConsumedAndPopLimit(limit))
            return true;
    }
    return true;
}

bool isJsonBounded(const std::string &body)
{
    std::size_t depth = 0;
    std::size_t fields = 0;
    bool quoted = false;
    for (std::size_t i = 0; i < body.size(); ++i) {
        const char character = body[i];
        if (quoted) {
            if (character == '\\')
                ++i;
            else
                quoted = character != '"';
            continue;
        }
        quoted = character == '"';
        if (character == '{' || character == '[')
            ++depth;
        else if (character == '}' || character == ']')
            depth -= std::min<std::size_t>(depth, 1);
        else if (character == ',' || character == ':')
            ++fields;
        // A field has a colon and, but for the last, a comma.
        if (depth > MaxBodyDepth || fields > 2 * MaxBodyFields)
            return false;
    }
    return true;
}

} // namespace

result<void> checkBodyBounds(const std::string &body, body_encoding encoding,
                             const pb::Descriptor *type)
{
    bool bounded = true;
    if (encoding == body_encoding::Json) {
        bounded = isJsonBounded(body);
    } else {
        pb::io::CodedInputStream input(reinterpret_cast<const pb::uint8 *>(body.data()),
                                       static_cast<int>(body.size()));
        std::size_t fields = MaxBodyFields;
        bounded = scanFields(&input, type, 0, &fields);
    }
    if (bounded)
        return {};
    return fail(reason::MalformedRequest,
                "body has more than 10000 fields or more than 32 nested objects; send only the "
                "fields of schema/hyssoppond.proto, each once");
}

} // namespace hyssoppond
