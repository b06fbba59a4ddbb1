#include "recovery/gone_evidence.h"

#include <algorithm>

namespace jujubevalve
{

gone_evidence::gone_evidence(time_ms list_lag, time_ms longest_request)
    : list_lag_{list_lag}
    , longest_request_{longest_request}
{
}

void gone_evidence::watch(std::string_view incarnation, std::string_view instance,
                          std::string_view peer_address, time_ms now)
{
    watched item;
    item.instance = instance;
    item.peer_address = peer_address;
    item.since = now;
    watched_.try_emplace(std::string{incarnation}, std::move(item));
}

void gone_evidence::successor_answered(std::string_view incarnation, std::string_view instance,
                                       std::string_view peer_address, time_ms connected_at)
{
    for (auto& [name, item] : watched_) {
        if (name != incarnation && item.instance == instance && item.peer_address == peer_address &&
            item.since < connected_at) {
            item.succeeded = true;
        }
    }
}

void gone_evidence::list_read(const std::vector<std::string>& instances, time_ms asked_at,
                              time_ms answered_at)
{
    for (auto& [name, item] : watched_) {
        if (std::find(instances.begin(), instances.end(), item.instance) != instances.end()) {
            item.was_listed = true;
            item.first_absent.reset();
            item.confirmed.reset();
            continue;
        }
        if (!item.was_listed || item.confirmed) {
            continue;
        }
        if (!item.first_absent) {
            item.first_absent = answered_at;
        } else if (asked_at - *item.first_absent > list_lag_) {
            item.confirmed = answered_at;
        }
    }
}

bool gone_evidence::is_gone(std::string_view incarnation, time_ms now) const
{
    const auto found = watched_.find(incarnation);
    if (found == watched_.end()) {
        return false;
    }
    const auto& item = found->second;
    return item.succeeded || (item.confirmed && now - *item.confirmed >= longest_request_);
}

std::vector<std::string> gone_evidence::gone(time_ms now) const
{
    std::vector<std::string> names;
    for (const auto& [name, item] : watched_) {
        if (is_gone(name, now)) {
            names.push_back(name);
        }
    }
    return names;
}

void gone_evidence::forget(std::string_view incarnation)
{
    const auto found = watched_.find(incarnation);
    if (found != watched_.end()) {
        watched_.erase(found);
    }
}

} // namespace jujubevalve
