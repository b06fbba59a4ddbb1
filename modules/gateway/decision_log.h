#pragma once

#include "core/time_ms.h"

#include <concepts>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// Fields of one log line.
class log_fields
{
public:
    log_fields& add(std::string_view name, std::string_view text);
    log_fields& add(std::string_view name, std::integral auto number)
    {
        return add_raw(name, std::to_string(number));
    }
    log_fields& add(std::string_view name, time_ms time) { return add(name, time.count()); }

    [[nodiscard]] const std::string& text() const { return text_; }

private:
    log_fields& add_raw(std::string_view name, std::string_view text);

    std::string text_;
};

/// Structured log on standard output, one JSON object per line. Writes at most `lines_per_second`
/// lines about single requests, and as many others, so that these are not lost among many requests;
/// each line carries the number of lines dropped so far. Never blocks: a line that standard
/// output does not accept at once is dropped as well.
class decision_log
{
public:
    explicit decision_log(std::int64_t lines_per_second = 400);
    ~decision_log();
    decision_log(const decision_log&) = delete;
    decision_log& operator=(const decision_log&) = delete;

    void write(std::string_view event, const log_fields& fields, time_ms now);

    [[nodiscard]] std::int64_t dropped() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace jujubevalve
