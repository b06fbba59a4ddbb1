#pragma once

/// Umbrella header of the membership module: this instance's view of the fleet.
#include "membership/address_list.h"
#include "membership/budget_hints.h"
#include "membership/gossip_digest.h"
#include "membership/member_entry.h"
#include "membership/member_table.h"
#include "membership/membership_settings.h"
