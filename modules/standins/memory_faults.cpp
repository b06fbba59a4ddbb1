#include "standins/memory_faults.h"

namespace jujubevalve
{

void memory_faults::set(const fault_settings& settings)
{
    const std::lock_guard lock{mutex_};
    if (settings.seed != settings_.seed) {
        random_.seed(settings.seed);
    }
    settings_ = settings;
}

fault_settings memory_faults::settings() const
{
    const std::lock_guard lock{mutex_};
    return settings_;
}

call_counts memory_faults::counts() const
{
    const std::lock_guard lock{mutex_};
    return counts_;
}

bool memory_faults::admit_read()
{
    const std::lock_guard lock{mutex_};
    ++(settings_.outage ? counts_.refused : counts_.reads);
    return !settings_.outage;
}

bool memory_faults::admit_write(std::int64_t rows)
{
    const std::lock_guard lock{mutex_};
    if (settings_.outage) {
        ++counts_.refused;
        return false;
    }
    ++counts_.writes;
    counts_.rows_written += rows;
    return true;
}

bool memory_faults::lose_answer()
{
    const std::lock_guard lock{mutex_};
    return draw(settings_.lost_answers);
}

bool memory_faults::is_late()
{
    const std::lock_guard lock{mutex_};
    return draw(settings_.late_writes);
}

bool memory_faults::draw(double probability)
{
    return probability > 0 && std::uniform_real_distribution<>{0.0, 1.0}(random_) < probability;
}

} // namespace jujubevalve
