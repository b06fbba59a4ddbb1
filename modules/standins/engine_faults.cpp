#include "standins/engine_faults.h"

#include "standins/fault_fields.h"

namespace jujubevalve
{

result<engine_faults> change_faults(const engine_faults& before, const std::string& body)
{
    auto after = before;
    std::int64_t delay_ms = before.delay.count();
    const auto changed = read_fault_fields(body,
                                           {{"silent_connections", &after.silent_connections},
                                            {"silent_after", &after.silent_after},
                                            {"cut_connections", &after.cut_connections},
                                            {"cut_after", &after.cut_after},
                                            {"crossed_answers", &after.crossed_answers},
                                            {"repeated_events", &after.repeated_events},
                                            {"skipped_events", &after.skipped_events},
                                            {"delay_ms", &delay_ms}},
                                           {{"usage_missing", &after.usage_missing},
                                            {"leaving", &after.leaving},
                                            {"refuse_starts", &after.refuse_starts}});
    if (!changed) {
        return changed.error();
    }
    after.delay = time_ms{delay_ms};
    return after;
}

} // namespace jujubevalve
