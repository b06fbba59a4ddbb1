#pragma once

#include "backend/usage.h"
#include "core/time_ms.h"

#include <optional>
#include <string>

namespace jujubevalve
{

/// An engine's response to a cancel. Once it is received, the run consumes no more tokens, and the
/// engine refuses a later start with the same key.
struct cancel_result {
    bool known{false};         ///< the engine has a record of a run with this key
    bool marked_before{false}; ///< no such run, but an earlier cancel marked the key
    bool finished{false};      ///< the run had finished before this cancel
    std::optional<usage> used; ///< final usage of a known run, if the engine still has it
    std::string metadata;      ///< as sent with the start request

    /// Age of the engine's oldest records. An engine loses its records when it restarts, so
    /// `known` = false proves that nothing ran only for a key first sent less than this ago.
    time_ms records_age{0};

    friend bool operator==(const cancel_result&, const cancel_result&) = default;
};

} // namespace jujubevalve
