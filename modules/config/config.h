#pragma once

/// Umbrella header of the config module: the routes and pools tables, their versions and stored
/// rows.
#include "config/apply_planner.h"
#include "config/backend_server.h"
#include "config/config_applier.h"
#include "config/config_changes.h"
#include "config/config_codec.h"
#include "config/config_history.h"
#include "config/config_loader.h"
#include "config/config_log_entry.h"
#include "config/config_rows.h"
#include "config/config_snapshot.h"
#include "config/pool.h"
#include "config/route.h"
#include "config/table_file.h"
#include "config/table_validation.h"
