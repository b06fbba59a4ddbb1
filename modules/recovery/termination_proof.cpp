#include "recovery/termination_proof.h"

#include <algorithm>

namespace jujubevalve
{

termination_proof::termination_proof(time_ms max_list_lag, time_ms max_request_duration)
    : max_list_lag_{max_list_lag}
    , max_request_duration_{max_request_duration}
{
}

void termination_proof::watch(std::string_view incarnation, std::string_view instance,
                              std::string_view peer_address, time_ms now)
{
    watched_incarnation entry;
    entry.instance = instance;
    entry.peer_address = peer_address;
    entry.watched_since = now;
    watched_.try_emplace(std::string{incarnation}, std::move(entry));
}

void termination_proof::record_successor(std::string_view incarnation, std::string_view instance,
                                         std::string_view peer_address, time_ms connected_at)
{
    for (auto& [name, entry] : watched_) {
        if (name != incarnation && entry.instance == instance &&
            entry.peer_address == peer_address && entry.watched_since < connected_at) {
            entry.has_successor = true;
        }
    }
}

void termination_proof::list_read(const std::vector<std::string>& instances, time_ms requested_at,
                                  time_ms received_at)
{
    for (auto& [name, entry] : watched_) {
        if (std::find(instances.begin(), instances.end(), entry.instance) != instances.end()) {
            entry.was_listed = true;
            entry.first_absent_at.reset();
            entry.absence_confirmed_at.reset();
            continue;
        }
        if (!entry.was_listed || entry.absence_confirmed_at) {
            continue;
        }
        if (!entry.first_absent_at) {
            entry.first_absent_at = received_at;
        } else if (requested_at - *entry.first_absent_at > max_list_lag_) {
            entry.absence_confirmed_at = received_at;
        }
    }
}

bool termination_proof::is_terminated(std::string_view incarnation, time_ms now) const
{
    const auto found = watched_.find(incarnation);
    if (found == watched_.end()) {
        return false;
    }
    const auto& entry = found->second;
    return entry.has_successor || (entry.absence_confirmed_at &&
                                   now - *entry.absence_confirmed_at >= max_request_duration_);
}

std::vector<std::string> termination_proof::gone(time_ms now) const
{
    std::vector<std::string> names;
    for (const auto& [name, entry] : watched_) {
        if (is_terminated(name, now)) {
            names.push_back(name);
        }
    }
    return names;
}

void termination_proof::forget(std::string_view incarnation)
{
    const auto found = watched_.find(incarnation);
    if (found != watched_.end()) {
        watched_.erase(found);
    }
}

} // namespace jujubevalve
