#pragma once

/// Umbrella header of the peer module: messages between instances, with their transport.
#include "peer/peer_client.h"
#include "peer/peer_handler.h"
#include "peer/peer_messages.h"
#include "peer/peer_options.h"
#include "peer/peer_result.h"
#include "peer/peer_server.h"
