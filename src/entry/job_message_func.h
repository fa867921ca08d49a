/// @file Conversion between jobs and their messages.
#pragma once

#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond.pb.h"

namespace hyssoppond {

/// Job as its message.
v1::Job toMessage(const job_view &job);

/// Specification from a request; `now` is the time of submission.
job_spec fromMessage(const v1::SubmitRequest &request, absl::Time now);

/// Class of urgency from its message.
urgency fromMessage(v1::Urgency level);

} // namespace hyssoppond
