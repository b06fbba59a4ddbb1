#pragma once

#include "backend/usage.h"
#include "core/time_ms.h"

#include <optional>
#include <string>

namespace jujubevalve
{

/// An engine's answer to a cancel. After it the run consumes no more tokens, and a start with the
/// key that arrives later is refused.
struct cancel_result {
    bool known{false};         ///< the engine has a record of a run with this key
    bool marked_before{false}; ///< unknown, but an earlier cancel has already marked the key
    bool finished{false};      ///< the run had ended by itself before this cancel
    std::optional<usage> used; ///< final usage of a known run; missing if the engine lost it
    std::string metadata;      ///< as sent with the start

    /// How far the engine's records go back. `known` = false proves that nothing ran only for a
    /// key that was first sent less than this ago: an engine forgets its runs when it restarts.
    time_ms records_age{0};

    friend bool operator==(const cancel_result&, const cancel_result&) = default;
};

} // namespace jujubevalve
