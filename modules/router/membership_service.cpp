#include "router/membership_service.h"

#include <algorithm>
#include <random>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_alternatives = 3;

membership_settings to_membership_settings(const router_settings& settings)
{
    membership_settings result;
    result.interval = settings.gossip_interval;
    return result;
}
} // namespace

membership_service::membership_service(const member_entry& own, const router_settings& settings,
                                       peer_client& peers)
    : peers_{peers}
    , timeout_{settings.peer_timeout}
    , table_{own, settings.seeds, to_membership_settings(settings), std::random_device{}()}
{
}

void membership_service::run_round()
{
    std::vector<std::string> peer_addresses;
    {
        const std::lock_guard lock{mutex_};
        peer_addresses = table_.begin_round(clock_.now());
    }
    // Exchanges run in parallel so that an unresponsive peer delays neither the others nor the next
    // round.
    constexpr std::size_t max_concurrent_exchanges = 32;
    for (const auto& address : peer_addresses) {
        if (exchanges_.running() < max_concurrent_exchanges) {
            exchanges_.run([this, address] { exchange(address); });
        }
    }
}

void membership_service::exchange(const std::string& address)
{
    wire::gossip request;
    {
        const std::lock_guard lock{mutex_};
        request = to_message(table_.make_digest(clock_.now()));
    }
    const auto reply = peers_.call(address, request, timeout_);
    {
        const std::lock_guard lock{mutex_};
        table_.record_exchange(address, static_cast<bool>(reply), clock_.now());
    }
    if (!reply) {
        return;
    }
    const auto digest = to_digest(*reply);
    notify_peer_shortage(digest);
    std::optional<config_source> newer;
    std::function<void(const config_source&)> fetch;
    {
        const std::lock_guard lock{mutex_};
        table_.merge(digest, clock_.now());
        newer = table_.newer_config(clock_.now());
        fetch = newer_config_handler_;
    }
    if (newer && fetch) {
        fetch(*newer);
    }
}

void membership_service::notify_peer_shortage(const gossip_digest& digest)
{
    std::function<void(const std::vector<std::string>&)> handler;
    {
        const std::lock_guard lock{mutex_};
        handler = peer_shortage_handler_;
    }
    if (handler && !digest.sought.empty()) {
        handler(digest.sought);
    }
}

wire::gossip membership_service::answer(const wire::gossip& request)
{
    const auto digest = to_digest(request);
    notify_peer_shortage(digest);
    const std::lock_guard lock{mutex_};
    return to_message(table_.answer(digest, clock_.now()));
}

void membership_service::stop()
{
    {
        const std::lock_guard lock{mutex_};
        newer_config_handler_ = nullptr;
        peer_shortage_handler_ = nullptr;
    }
    exchanges_.wait_idle(minutes(1));
}

void membership_service::set_draining()
{
    const std::lock_guard lock{mutex_};
    table_.set_draining();
}

void membership_service::set_config(std::int64_t term, std::int64_t version)
{
    const std::lock_guard lock{mutex_};
    table_.set_config(term, version);
}

void membership_service::announce_available(
    std::map<std::string, std::int64_t, std::less<>> available)
{
    const std::lock_guard lock{mutex_};
    table_.hints().announce(std::move(available));
}

void membership_service::report_shortage(const std::string& budget)
{
    const std::lock_guard lock{mutex_};
    table_.hints().seek(budget, clock_.now());
}

std::vector<listed_address> membership_service::addresses(const caller_location& place)
{
    const std::lock_guard lock{mutex_};
    return make_address_list(table_, clock_.now(), place, list_rotation_++);
}

std::vector<std::string> membership_service::alternatives(const std::string& budget)
{
    const std::lock_guard lock{mutex_};
    const auto now = clock_.now();
    std::vector<std::string> result;
    if (!budget.empty()) {
        if (const auto holder = table_.holder_of(budget, now)) {
            result.push_back(holder->http_address);
        }
    }
    const caller_location here{table_.own().failure_domain, table_.own().region};
    for (const auto& listed : make_address_list(table_, now, here, list_rotation_++)) {
        const bool known =
            std::find(result.begin(), result.end(), listed.http_address) != result.end();
        if (listed.instance != table_.own().instance && !known &&
            result.size() < max_alternatives) {
            result.push_back(listed.http_address);
        }
    }
    return result;
}

std::optional<member_entry> membership_service::holder_of(const std::string& budget) const
{
    const std::lock_guard lock{mutex_};
    return table_.holder_of(budget, clock_.now());
}

std::optional<member_view> membership_service::find(const std::string& incarnation) const
{
    const std::lock_guard lock{mutex_};
    return table_.find(incarnation, clock_.now());
}

std::vector<member_view> membership_service::members() const
{
    const std::lock_guard lock{mutex_};
    return table_.members(clock_.now());
}

std::int64_t membership_service::live_instances() const
{
    const std::lock_guard lock{mutex_};
    return table_.live_instances(clock_.now());
}

member_entry membership_service::own() const
{
    const std::lock_guard lock{mutex_};
    return table_.own();
}

} // namespace jujubevalve
