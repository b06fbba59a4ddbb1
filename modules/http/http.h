#pragma once

/// Umbrella header of the http module: a blocking client and a thread-per-connection server.
#include "http/http_client.h"
#include "http/http_message.h"
#include "http/http_server.h"
