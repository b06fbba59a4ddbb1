#pragma once

/// Umbrella header of the backend module: client of backend servers (engines and plain services).
#include "backend/backend_client.h"
#include "backend/backend_outcome.h"
#include "backend/backend_refusal.h"
#include "backend/call_result.h"
#include "backend/cancel_result.h"
#include "backend/engine_event.h"
#include "backend/engine_request.h"
#include "backend/plain_call.h"
#include "backend/resume_policy.h"
#include "backend/server_load.h"
#include "backend/sse_parser.h"
#include "backend/stream_checker.h"
#include "backend/stream_result.h"
#include "backend/usage.h"
