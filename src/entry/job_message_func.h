/// @file Conversion between jobs and their protocol messages.
#pragma once

#include "hyssoppond/entry/cluster_controller_base.h"

#include "hyssoppond.pb.h"

namespace hyssoppond {

/// Converts a job to its message.
v1::Job toMessage(const job_view &job);

/// Converts a submission to the specification of its job; `now` is the time of submission.
job_spec fromMessage(const v1::SubmitRequest &request, absl::Time now);

/// Converts the urgency of a message. Values other than BACKGROUND and URGENT become Normal.
urgency fromMessage(v1::Urgency level);

} // namespace hyssoppond
