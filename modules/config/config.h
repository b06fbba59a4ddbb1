#pragma once

/// Umbrella header of the config module: the two tables and their versions.
#include "config/backend_server.h"
#include "config/config_snapshot.h"
#include "config/pool.h"
#include "config/route.h"
