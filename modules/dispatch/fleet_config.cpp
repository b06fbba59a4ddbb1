#include "dispatch/fleet_config.h"

#include <algorithm>
#include <cctype>
#include <utility>

namespace jujubevalve
{

std::string host_name(std::string_view host)
{
    std::string name{host.substr(0, host.find(':'))};
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

fleet_config::fleet_config(fleet_config_content content)
    : content_{std::move(content)}
{
    for (const auto& route : content_.routes) {
        routes_by_host_[host_name(route.host)].push_back(&route);
    }
    for (auto& [host, routes] : routes_by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const auto* a, const auto* b) {
            return a->prefix.size() > b->prefix.size();
        });
    }
    if (content_.accounts) {
        for (const auto& account : *content_.accounts) {
            for (const auto& key : account.keys) {
                accounts_by_key_.emplace(key, &account);
            }
        }
    }
    for (const auto& service : content_.services) {
        services_by_name_.emplace(service.name, &service);
    }
}

const call_route* fleet_config::find_route(std::string_view host, std::string_view path) const
{
    const auto found = routes_by_host_.find(host_name(host));
    if (found == routes_by_host_.end()) {
        return nullptr;
    }
    path = path.substr(0, path.find('?'));
    const auto route =
        std::find_if(found->second.begin(), found->second.end(),
                     [path](const auto* candidate) { return path.starts_with(candidate->prefix); });
    return route == found->second.end() ? nullptr : *route;
}

const client_account* fleet_config::find_account(std::string_view key) const
{
    const auto found = accounts_by_key_.find(std::string{key});
    return found == accounts_by_key_.end() ? nullptr : found->second;
}

const service_options* fleet_config::find_service(std::string_view name) const
{
    const auto found = services_by_name_.find(name);
    return found == services_by_name_.end() ? nullptr : found->second;
}

} // namespace jujubevalve
