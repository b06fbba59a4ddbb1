#include "standins/site/leaving_check.h"

namespace jujubevalve::site
{

void leaving_check::sent(const std::string& id, const std::string& gateway, time_ms now)
{
    const std::lock_guard lock{mutex_};
    sent_[id] = {gateway, now};
}

void leaving_check::answered(const std::string& id, const std::string& server, time_ms now)
{
    const std::lock_guard lock{mutex_};
    const auto request = sent_.find(id);
    if (request == sent_.end()) {
        return;
    }
    const auto& [gateway, sent_at] = request->second;
    const auto excused = excused_.find(gateway);
    if (excused != excused_.end() && sent_at <= excused->second) {
        return; // it may have passed this on before it started again
    }
    announcements_ += passed_on_.try_emplace({gateway, server}, now).second ? 1 : 0;
}

void leaving_check::arrived(const std::string& id, const std::string& server)
{
    const std::lock_guard lock{mutex_};
    const auto request = sent_.find(id);
    if (request == sent_.end()) {
        return;
    }
    const auto passed_on = passed_on_.find({request->second.gateway, server});
    if (passed_on != passed_on_.end() && request->second.at - passed_on->second > drain_time) {
        violations_.push_back(id + " reached " + server + ", sent " +
                              std::to_string((request->second.at - passed_on->second).count()) +
                              " ms after its gateway had passed on that this server leaves");
    }
}

void leaving_check::excuse(const std::string& gateway, time_ms now)
{
    const std::lock_guard lock{mutex_};
    excused_[gateway] = now;
    std::erase_if(passed_on_,
                  [&gateway](const auto& entry) { return entry.first.first == gateway; });
}

std::size_t leaving_check::announcements() const
{
    const std::lock_guard lock{mutex_};
    return announcements_;
}

std::vector<std::string> leaving_check::violations() const
{
    const std::lock_guard lock{mutex_};
    return violations_;
}

} // namespace jujubevalve::site
