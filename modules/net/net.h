#pragma once

/// Umbrella header of the net module: one event loop, TCP streams and incremental HTTP/1.1.
#include "net/event_loop.h"
#include "net/http_exchange.h"
#include "net/http_head.h"
#include "net/http_reader.h"
#include "net/tcp_listener.h"
#include "net/tcp_stream.h"
