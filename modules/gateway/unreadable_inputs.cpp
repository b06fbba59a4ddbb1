#include "gateway/unreadable_inputs.h"

#include <utility>

namespace jujubevalve
{

namespace
{
/// Interval of the log lines about one field. A fault of all servers of a service shows in each
/// response, and one example explains it.
constexpr time_ms log_interval{60'000};
/// Max bytes of a value in the log.
constexpr std::size_t max_logged_bytes = 200;
} // namespace

std::optional<std::int64_t> event_throttle::admit(std::string_view name, time_ms now)
{
    auto found = occurrences_.find(name);
    const bool is_first = found == occurrences_.end();
    if (is_first) {
        found = occurrences_.emplace(std::string{name}, occurrences{}).first;
    }
    auto& seen = found->second;
    ++seen.since_admitted;
    if (!is_first && now - seen.admitted_at < interval_) {
        return std::nullopt;
    }
    seen.admitted_at = now;
    return std::exchange(seen.since_admitted, 0);
}

unreadable_inputs::unreadable_inputs(decision_log& log, gateway_metrics& metrics)
    : log_{log}
    , metrics_{metrics}
    , throttle_{log_interval}
{
}

void unreadable_inputs::record(std::string_view field, std::string_view source,
                               std::string_view value, time_ms now)
{
    metrics_.count("unreadable_inputs");
    if (const auto count = throttle_.admit(field, now)) {
        log_.write("unreadable_input",
                   log_fields{}
                       .add("field", field)
                       .add("source", source)
                       .add("value", value.substr(0, max_logged_bytes))
                       .add("times", *count),
                   now);
    }
}

} // namespace jujubevalve
