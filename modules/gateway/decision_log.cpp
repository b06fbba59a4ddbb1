#include "gateway/decision_log.h"

#include <algorithm>
#include <array>
#include <fcntl.h>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace jujubevalve
{

namespace
{
/// Writes lines to standard output without blocking.
class non_blocking_sink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    non_blocking_sink()
    {
        const auto flags = ::fcntl(STDOUT_FILENO, F_GETFL, 0);
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    }

    [[nodiscard]] std::int64_t failed() const { return failed_writes_; }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        const auto written = ::write(STDOUT_FILENO, line.data(), line.size());
        failed_writes_ += written == static_cast<ssize_t>(line.size()) ? 0 : 1;
    }
    void flush_() override {}

private:
    std::int64_t failed_writes_{0};
};

bool is_about_one_request(std::string_view event)
{
    constexpr auto names = std::to_array<std::string_view>(
        {"call", "attempt_failed", "stray_answer", "unidentified_answer", "stream_resumed",
         "budget_refusal", "abandoned"});
    return std::find(names.begin(), names.end(), event) != names.end();
}

void append_escaped(std::string& out, std::string_view text)
{
    constexpr std::string_view digits = "0123456789abcdef";
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (c == '"' || c == '\\') {
            out.append({'\\', c});
        } else if (byte < 0x20 || byte >= 0x7f) {
            out.append("\\u00").append({digits[byte >> 4U], digits[byte & 15U]});
        } else {
            out += c;
        }
    }
}
} // namespace

log_fields& log_fields::add(std::string_view name, std::string_view text)
{
    text_.append(",\"").append(name).append("\":\"");
    append_escaped(text_, text);
    text_ += '"';
    return *this;
}

log_fields& log_fields::add_raw(std::string_view name, std::string_view text)
{
    text_.append(",\"").append(name).append("\":").append(text);
    return *this;
}

class decision_log::impl
{
public:
    explicit impl(std::int64_t lines_per_second)
        : sink_{std::make_shared<non_blocking_sink>()}
        , logger_{"decisions", sink_}
        , lines_per_second_{lines_per_second}
    {
        logger_.set_pattern("{\"time\":\"%Y-%m-%dT%H:%M:%S.%e\",%v}");
    }

    void write(std::string_view event, const log_fields& fields, time_ms now)
    {
        if (now - second_start_ >= seconds(1)) {
            second_start_ = now;
            lines_in_second_ = {};
        }
        auto& lines = lines_in_second_.at(is_about_one_request(event) ? 0 : 1);
        if (lines >= lines_per_second_) {
            ++dropped_;
            return;
        }
        ++lines;
        logger_.info("\"ms\":{},\"event\":\"{}\"{},\"dropped\":{}", now.count(), event,
                     fields.text(), dropped());
    }

    [[nodiscard]] std::int64_t dropped() const { return dropped_ + sink_->failed(); }

private:
    std::shared_ptr<non_blocking_sink> sink_;
    spdlog::logger logger_;
    std::int64_t lines_per_second_;
    std::array<std::int64_t, 2> lines_in_second_{}; ///< about one request each, and others
    std::int64_t dropped_{0};
    time_ms second_start_{};
};

decision_log::decision_log(std::int64_t lines_per_second)
    : impl_{std::make_unique<impl>(lines_per_second)}
{
}

decision_log::~decision_log() = default;

void decision_log::write(std::string_view event, const log_fields& fields, time_ms now)
{
    impl_->write(event, fields, now);
}

std::int64_t decision_log::dropped() const
{
    return impl_->dropped();
}

} // namespace jujubevalve
