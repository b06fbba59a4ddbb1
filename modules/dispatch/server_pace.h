#pragma once

#include <array>
#include <cstdint>

namespace jujubevalve
{

/// How fast a server works, from the slowness that its load reports state. The figure changes many
/// times a second, and an instance mostly reads it long before the next request that might go to
/// the server; what lasts is the median of the latest ones.
class server_pace
{
public:
    /// Adds the slowness that a report states, in percent of the usual time.
    void add(std::int64_t slowness_percent);

    /// Returns how long work mostly takes at the server, relative to the usual time; `otherwise`
    /// without a report. Instances that have read different reports return nearly the same.
    [[nodiscard]] double slowness(double otherwise) const
    {
        return count_ == 0 ? otherwise : slowness_;
    }
    [[nodiscard]] bool is_known() const { return count_ > 0; }

    friend bool operator==(const server_pace&, const server_pace&) = default;

private:
    /// A machine that works more slowly for good shows it after half as many reports.
    static constexpr std::int64_t median_reports = 15;

    std::int64_t count_{0};
    std::array<std::int64_t, median_reports> latest_percents_{}; ///< cyclic
    double slowness_{1};
};

} // namespace jujubevalve
