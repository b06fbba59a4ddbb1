#pragma once

/// Umbrella header of the requests module: idempotency keys, request parsing, at-most-once
/// execution and the sequence numbers of backend requests.
#include "requests/execution_registry.h"
#include "requests/final_records.h"
#include "requests/key_epochs.h"
#include "requests/key_home.h"
#include "requests/key_prefix.h"
#include "requests/request_parser.h"
#include "requests/resume_token.h"
#include "requests/server_sequence.h"
