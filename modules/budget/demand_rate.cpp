#include "budget/demand_rate.h"

#include <algorithm>
#include <cmath>

namespace jujubevalve
{

demand_rate::demand_rate(time_ms time_constant, time_ms min_age)
    : time_constant_{time_constant}
    , min_age_{min_age}
{
}

void demand_rate::add(token_count tokens, time_ms now)
{
    if (!started_) {
        started_ = true;
        first_ = now;
        last_ = now;
    }
    const auto tau = static_cast<double>(time_constant_.count());
    weighted_ *= std::exp(-static_cast<double>((now - last_).count()) / tau);
    weighted_ += static_cast<double>(tokens) / tau;
    last_ = now;
}

void demand_rate::correct(token_count change, time_ms then)
{
    const auto tau = static_cast<double>(time_constant_.count());
    const auto weight = std::exp(-static_cast<double>((last_ - then).count()) / tau);
    weighted_ = std::max(0.0, weighted_ + weight * static_cast<double>(change) / tau);
}

double demand_rate::per_ms(time_ms now) const
{
    if (!started_) {
        return 0;
    }
    const auto tau = static_cast<double>(time_constant_.count());
    const auto age = static_cast<double>(std::max(now - first_, min_age_).count());
    const auto decay = std::exp(-static_cast<double>((now - last_).count()) / tau);
    return weighted_ * decay / (1 - std::exp(-age / tau));
}

} // namespace jujubevalve
