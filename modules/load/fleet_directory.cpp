#include "load/fleet_directory.h"

#include "core/clock.h"
#include "http/http_client.h"

#include <algorithm>

namespace jujubevalve
{

namespace
{
time_ms now()
{
    return steady_clock_ms{}.now();
}
} // namespace

fleet_directory::fleet_directory(const std::vector<std::string>& bootstrap,
                                 const std::vector<load_account>& accounts)
{
    for (const auto& account : accounts) {
        caches_.emplace(account.account, address_cache{bootstrap});
    }
}

std::string fleet_directory::choose(const load_account& account, std::uint64_t random,
                                    const std::vector<std::string>& preferred,
                                    const std::string& excluded)
{
    instances(account, random);
    const std::lock_guard lock{mutex_};
    return caches_.at(account.account).choose(random, preferred, excluded, now());
}

std::optional<instance_answer> fleet_directory::instances(const load_account& account,
                                                          std::uint64_t random)
{
    {
        const std::lock_guard lock{mutex_};
        if (auto current = caches_.at(account.account).current(now())) {
            return current;
        }
    }
    return renew(account, random, {}, {});
}

std::optional<instance_answer> fleet_directory::renew(const load_account& account,
                                                      std::uint64_t random,
                                                      const std::vector<std::string>& preferred,
                                                      const std::string& excluded)
{
    auto sources = preferred;
    {
        const std::lock_guard lock{mutex_};
        const auto known = caches_.at(account.account).sources(random, now());
        sources.insert(sources.end(), known.begin(), known.end());
    }
    std::stable_partition(sources.begin(), sources.end(),
                          [&](const auto& address) { return address != excluded; });
    for (const auto& address : sources) {
        if (auto answer = fetch(account, address)) {
            return answer;
        }
        avoid(account, address);
    }
    return std::nullopt;
}

void fleet_directory::avoid(const load_account& account, const std::string& address)
{
    const std::lock_guard lock{mutex_};
    caches_.at(account.account).avoid(address, now());
}

std::optional<instance_answer> fleet_directory::fetch(const load_account& account,
                                                      const std::string& address)
{
    http_call call{"GET", "http://" + address + "/v1/instances"};
    call.headers["Authorization"] = "Bearer " + account.bearer_key;
    call.timeout = time_ms{2000};
    http_client own_connection;
    const auto reply = own_connection.perform(call);
    if (!reply.ok()) {
        return std::nullopt;
    }
    auto answer = parse_instances(reply.body);
    if (!answer) {
        return std::nullopt;
    }
    const std::lock_guard lock{mutex_};
    caches_.at(account.account).update(*answer, now());
    return *answer;
}

} // namespace jujubevalve
