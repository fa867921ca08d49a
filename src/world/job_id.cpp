/// @file Derivation of job ids.
#include "hyssoppond/world/job_type.h"

#include <absl/strings/str_format.h>
#include <xxhash.h>

namespace hyssoppond {

job_id jobIdFor(const team_id &team, const request_id &request)
{
    // The length of the team id gives ("a", "bc") and ("ab", "c") different keys.
    const std::string key
        = absl::StrFormat("%d:%s%s", team.str().size(), team.str(), request.str());
    const XXH128_hash_t hash = XXH3_128bits(key.data(), key.size());
    return job_id(absl::StrFormat("j-%016x%016x", hash.high64, hash.low64));
}

} // namespace hyssoppond
