/// @file Mapping of error reasons to HTTP status codes.
#include "hyssoppond/rpc/rpc_server_base.h"

namespace hyssoppond {

int httpStatusOf(const error &problem)
{
    switch (problem.why) {
    case reason::MalformedRequest:
    case reason::UnknownField:
    case reason::InvalidArgument:
    case reason::ImpossibleShape:
    case reason::UnsupportedVersion:
        return 400;
    case reason::UnknownTeam:
    case reason::UnknownContract:
    case reason::UnknownJob:
    case reason::UnknownEndpoint:
        return 404;
    case reason::RequestIdReused:
    case reason::VersionConflict:
    case reason::WrongState:
        return 409;
    case reason::BodyTooLarge:
        return 413;
    case reason::QueueFull:
    case reason::QuotaExceeded:
    case reason::Overloaded:
    case reason::RetryBudgetExhausted:
        return 429;
    case reason::Expired:
    case reason::DeadlineTooShort:
    case reason::LogUnsettled:
        return 504;
    case reason::RunnerFailed:
    case reason::RunnerUnreachable:
    case reason::AgentLost:
        return 502;
    case reason::Internal:
        return 500;
    default:
        return 503;
    }
}

} // namespace hyssoppond
