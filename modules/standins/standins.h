#pragma once

/// Umbrella header of the standins module: servers that take the place of the platform and of the
/// backend servers in tests and in the demo.
#include "standins/memory_faults.h"
#include "standins/memory_instance_list.h"
#include "standins/memory_object_store.h"
#include "standins/memory_table_store.h"
#include "standins/platform_server.h"
