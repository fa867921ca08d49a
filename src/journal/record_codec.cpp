/// @file Implementation of the record codec.
#include "hyssoppond/journal/record_codec_func.h"

#include "hyssoppond/base/checksummed_archive_func.h"

namespace hyssoppond::journal {

std::string encodeBatch(const std::vector<journal_record> &batch)
{
    return encodeChecksummed(RecordVersion, batch);
}

result<std::vector<journal_record>> decodeBatch(std::string_view payload)
{
    return decodeChecksummed<std::vector<journal_record>>(RecordVersion, payload, MaxPayloadBytes);
}

} // namespace hyssoppond::journal
