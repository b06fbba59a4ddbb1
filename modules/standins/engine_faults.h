#pragma once

#include "core/result.h"
#include "core/time_ms.h"

#include <cstdint>
#include <string>

namespace jujubevalve
{

/// Faults injected by an engine stand-in. A fault count drops by one each time the fault occurs.
struct engine_faults {
    std::int64_t silent_connections{0}; ///< open or new streams that stop sending forever
    std::int64_t silent_after{0};       ///< events that a stream sends before it may go silent
    std::int64_t cut_connections{0};    ///< streams that are cut
    std::int64_t cut_after{0};          ///< events that a stream sends before it is cut
    std::int64_t crossed_answers{0};    ///< events of other requests sent into streams
    std::int64_t repeated_events{0};    ///< events sent twice
    std::int64_t skipped_events{0};     ///< events left out
    time_ms delay{0};                   ///< before each start is processed
    bool usage_missing{false};          ///< the last event has no usage
    bool leaving{false};                ///< shown in the load report after its lag
    bool refuse_starts{false};          ///< starts are refused with 503

    friend bool operator==(const engine_faults&, const engine_faults&) = default;
};

/// Changes the faults named in the JSON object; others stay. Fails with `malformed_json` or
/// `invalid_field`. `delay` is given as `delay_ms`.
result<engine_faults> change_faults(const engine_faults& before, const std::string& body);

} // namespace jujubevalve
