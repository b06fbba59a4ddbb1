#pragma once

#include "membership/gossip_digest.h"
#include <peer_types.h>

namespace jujubevalve
{

/// Conversions between the digests of the membership module and their messages.
wire::gossip to_message(const gossip_digest& digest);
gossip_digest to_digest(const wire::gossip& message);

} // namespace jujubevalve
