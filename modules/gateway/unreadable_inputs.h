#pragma once

#include "core/time_ms.h"
#include "gateway/decision_log.h"
#include "gateway/gateway_metrics.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Admits one event of each name per interval and counts the others.
class event_throttle
{
public:
    explicit event_throttle(time_ms interval)
        : interval_{interval}
    {
    }

    /// Returns the number of events of this name since the last one admitted, including this one,
    /// or nothing if this one is not admitted.
    std::optional<std::int64_t> admit(std::string_view name, time_ms now);

private:
    struct occurrences {
        time_ms admitted_at{};
        std::int64_t since_admitted{0};
    };

    time_ms interval_;
    std::map<std::string, occurrences, std::less<>> occurrences_;
};

/// Counts what other processes sent and this one cannot decode, and logs an example of each field
/// from time to time.
class unreadable_inputs
{
public:
    unreadable_inputs(decision_log& log, gateway_metrics& metrics);

    /// Records a field that cannot be decoded. `field`: its name, which must come from a small set.
    /// `source`: who sent it.
    void record(std::string_view field, std::string_view source, std::string_view value,
                time_ms now);

private:
    decision_log& log_;
    gateway_metrics& metrics_;
    event_throttle throttle_;
};

} // namespace jujubevalve
