#include "load/load_stats.h"

#include <algorithm>
#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics.hpp>
#include <fmt/format.h>
#include <mutex>
#include <nlohmann/json.hpp>

namespace jujubevalve
{

namespace
{
namespace acc = boost::accumulators;

constexpr std::array<double, 3> probabilities{0.5, 0.95, 0.99};
constexpr std::array<const char*, 3> quantile_names{"p50", "p95", "p99"};

// Latencies in milliseconds. The P-square algorithm estimates quantiles without storing samples.
class latencies
{
public:
    void add(double milliseconds) { samples_(milliseconds); }

    [[nodiscard]] nlohmann::json to_json() const
    {
        const auto count = acc::count(samples_);
        nlohmann::json values{{"count", count}};
        if (count == 0) {
            return values;
        }
        values["mean"] = acc::mean(samples_);
        values["max"] = acc::max(samples_);
        for (std::size_t i = 0; i < probabilities.size(); ++i) {
            values[quantile_names[i]] = acc::extended_p_square(samples_)[i];
        }
        return values;
    }

private:
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::mean, acc::tag::max,
                                            acc::tag::extended_p_square>>
        samples_{acc::extended_p_square_probabilities = probabilities};
};
} // namespace

class load_stats::impl
{
public:
    // Calls `apply` with this object under the lock.
    template <class T>
    void with_lock(T&& apply)
    {
        const std::lock_guard lock{mutex_};
        apply(*this);
    }

    [[nodiscard]] nlohmann::json to_json() const
    {
        const std::lock_guard lock{mutex_};
        return {{"answered", totals.answered},
                {"refused_not_run", totals.refused_not_run},
                {"outcome_unknown", totals.outcome_unknown},
                {"unreachable", totals.unreachable},
                {"wrong_or_partial_answers", totals.wrong_or_partial_answers},
                {"attempts", totals.attempts},
                {"refused_attempts", totals.refused_attempts},
                {"lost_attempts", totals.lost_attempts},
                {"not_delivered_attempts", totals.not_delivered_attempts},
                {"tokens", totals.tokens},
                {"refused_attempts_by_type", attempt_errors_by_type},
                {"final_errors_by_type", final_errors_by_type},
                {"first_token_ms", first_token.to_json()},
                {"between_tokens_ms", token_gap.to_json()},
                {"request_ms", request.to_json()}};
    }

    [[nodiscard]] load_totals copy_totals() const
    {
        const std::lock_guard lock{mutex_};
        return totals;
    }

    load_totals totals;
    std::map<std::string, std::int64_t> attempt_errors_by_type;
    std::map<std::string, std::int64_t> final_errors_by_type;
    latencies first_token;
    latencies token_gap;
    latencies request;

private:
    mutable std::mutex mutex_;
};

load_stats::load_stats()
    : impl_{std::make_unique<impl>()}
{
}

load_stats::~load_stats() = default;

void load_stats::add_attempt(const attempt_result& ended)
{
    impl_->with_lock([&](impl& data) {
        ++data.totals.attempts;
        switch (ended.what) {
        case attempt_result::kind::answered:
            break;
        case attempt_result::kind::error:
            ++data.totals.refused_attempts;
            ++data.attempt_errors_by_type[ended.error.type];
            break;
        case attempt_result::kind::not_delivered:
            ++data.totals.not_delivered_attempts;
            break;
        case attempt_result::kind::lost:
            ++data.totals.lost_attempts;
            break;
        }
    });
}

void load_stats::add_outcome(caller_outcome outcome, const std::string& type)
{
    impl_->with_lock([&](impl& data) {
        switch (outcome) {
        case caller_outcome::answered:
            ++data.totals.answered;
            return;
        case caller_outcome::refused_not_run:
            ++data.totals.refused_not_run;
            break;
        case caller_outcome::outcome_unknown:
            ++data.totals.outcome_unknown;
            break;
        case caller_outcome::unreachable:
            ++data.totals.unreachable;
            break;
        }
        ++data.final_errors_by_type[type];
    });
}

void load_stats::add_wrong_answer()
{
    impl_->with_lock([](impl& data) { ++data.totals.wrong_or_partial_answers; });
}

void load_stats::add_tokens(std::int64_t tokens)
{
    impl_->with_lock([tokens](impl& data) { data.totals.tokens += tokens; });
}

void load_stats::add_first_token(double milliseconds)
{
    impl_->with_lock([=](impl& data) { data.first_token.add(milliseconds); });
}

void load_stats::add_token_gap(double milliseconds)
{
    impl_->with_lock([=](impl& data) { data.token_gap.add(milliseconds); });
}

void load_stats::add_request(double milliseconds)
{
    impl_->with_lock([=](impl& data) { data.request.add(milliseconds); });
}

load_totals load_stats::totals() const
{
    return impl_->copy_totals();
}

std::string load_stats::to_json() const
{
    return impl_->to_json().dump();
}

std::string load_stats::to_text() const
{
    std::string text;
    const auto flat = impl_->to_json().flatten();
    for (const auto& [path, value] : flat.items()) {
        auto name = path.substr(1);
        std::replace(name.begin(), name.end(), '/', '.');
        if (!value.is_null()) {
            text += fmt::format("{} {}\n", name, value.dump());
        }
    }
    return text;
}

} // namespace jujubevalve
