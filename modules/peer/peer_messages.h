#pragma once

#include "membership/gossip_digest.h"
#include <peer_types.h>

namespace jujubevalve
{

/// Converts between the gossip digest of the membership module and its wire message.
wire::gossip to_message(const gossip_digest& digest);
gossip_digest to_digest(const wire::gossip& message);

} // namespace jujubevalve
