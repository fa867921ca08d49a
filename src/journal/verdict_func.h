/// @file Construction of verdicts.
#pragma once

#include "hyssoppond/journal/cluster_type.h"

namespace hyssoppond::journal {

inline verdict accept()
{
    return {.accepted = true};
}

/// `related` is the offset that the rejection refers to, see verdict::related; 0 if there is none.
inline verdict reject(reason why, journal_offset related = 0)
{
    return {.accepted = false, .why = why, .related = related};
}

/// The record was accepted earlier, at offset `first`, with the same content.
inline verdict repeat(journal_offset first)
{
    return {.accepted = true, .repeated = true, .related = first};
}

} // namespace hyssoppond::journal
