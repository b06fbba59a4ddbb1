#pragma once

/// Umbrella header of the storage module: interfaces of the platform's services and their HTTP
/// client.
#include "storage/http_platform.h"
#include "storage/instance_list.h"
#include "storage/object_store.h"
#include "storage/platform_codec.h"
#include "storage/table_store.h"
