/// @file Limits of what clients make a native process hold, from its settings.
#pragma once

#include "hyssoppond/base/client_budget_base.h"
#include "hyssoppond/base/settings_base.h"
#include "hyssoppond/node/node_link_base.h"

namespace hyssoppond {

/// Shares of the memory that the clients of the procedures and other processes may take.
budget_limits clientLimits(const settings &values);

/// Limits of connections, which leave a fifth of the process's descriptors for connections to peers
/// and to the platform's services.
client_settings clientSettings(const settings &values, client_budget *budget);

/// Makes the allocator return large freed blocks to the system. By default it keeps blocks of up to
/// 32 MiB in its arenas, so that bodies which were freed still count as memory in use.
void returnLargeBlocks();

} // namespace hyssoppond
