#pragma once

/// Umbrella header of the platform module: ports of the platform's services and their adapters.
#include "platform/http_platform.h"
#include "platform/instance_list.h"
#include "platform/object_store.h"
#include "platform/platform_codec.h"
#include "platform/table_store.h"
