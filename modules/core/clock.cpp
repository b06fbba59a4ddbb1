#include "core/clock.h"

#include <chrono>

namespace jujubevalve
{

namespace
{
template <class Clock>
time_ms since_epoch()
{
    const auto elapsed = Clock::now().time_since_epoch();
    return time_ms{std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count()};
}
} // namespace

time_ms steady_clock_ms::now() const
{
    return since_epoch<std::chrono::steady_clock>();
}

time_ms wall_clock_ms::now() const
{
    return since_epoch<std::chrono::system_clock>();
}

} // namespace jujubevalve
