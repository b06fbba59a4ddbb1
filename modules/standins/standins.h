#pragma once

/// Umbrella header of the standins module: servers that replace the platform and the backend
/// servers in tests and in the demo.
#include "standins/engine_answer.h"
#include "standins/engine_faults.h"
#include "standins/engine_run_tracker.h"
#include "standins/engine_standin.h"
#include "standins/fencing_check.h"
#include "standins/memory_faults.h"
#include "standins/memory_instance_list.h"
#include "standins/memory_object_store.h"
#include "standins/memory_table_store.h"
#include "standins/platform_server.h"
#include "standins/service_answer.h"
#include "standins/service_standin.h"
#include "standins/stop_signal.h"
#include "standins/tcp_relay.h"
