#pragma once

#include <compare>
#include <cstdint>

namespace jujubevalve
{

/// A point in time or a duration in whole milliseconds.
class time_ms
{
public:
    constexpr time_ms() = default;
    constexpr explicit time_ms(std::int64_t count)
        : count_{count}
    {
    }

    /// The number of milliseconds.
    [[nodiscard]] constexpr std::int64_t count() const { return count_; }

    friend constexpr auto operator<=>(time_ms, time_ms) = default;

    friend constexpr time_ms operator+(time_ms a, time_ms b)
    {
        return time_ms{a.count_ + b.count_};
    }
    friend constexpr time_ms operator-(time_ms a, time_ms b)
    {
        return time_ms{a.count_ - b.count_};
    }
    friend constexpr time_ms operator*(time_ms a, std::int64_t n) { return time_ms{a.count_ * n}; }
    friend constexpr time_ms operator/(time_ms a, std::int64_t n) { return time_ms{a.count_ / n}; }

private:
    std::int64_t count_{0};
};

/// Returns a duration of `n` seconds.
constexpr time_ms seconds(std::int64_t n)
{
    return time_ms{n * 1000};
}

/// Returns a duration of `n` minutes.
constexpr time_ms minutes(std::int64_t n)
{
    return seconds(n * 60);
}

} // namespace jujubevalve
