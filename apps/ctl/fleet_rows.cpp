#include "ctl/fleet_rows.h"

#include "config/config_loader.h"

#include <charconv>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
constexpr std::string_view grant_prefix = "grant/";
constexpr std::string_view instance_prefix = "instance/";
constexpr std::string_view segment_prefix = "segments/";

// The library reports a missing field or a wrong type by an exception.
template <class Read>
auto decode(std::string_view what, std::string_view text, Read read)
    -> result<decltype(read(std::declval<const json&>()))>
{
    try {
        return read(json::parse(text));
    } catch (const json::exception& error) {
        return failure{result_code::malformed_row, fmt::format("{}: {}", what, error.what())};
    }
}

using totals = std::map<std::string, token_count>;

token_count sum(const totals& counts)
{
    token_count total = 0;
    for (const auto& [name, count] : counts) {
        total += count;
    }
    return total;
}

result<grant_view> decode_grant(const table_row& row)
{
    const auto rest = row.key.substr(grant_prefix.size());
    const auto slash = rest.find('/');
    if (slash == std::string::npos) {
        return failure{result_code::malformed_row,
                       fmt::format("row {}: expected grant/<budget>/<incarnation>", row.key)};
    }
    return decode("row " + row.key, row.value, [&](const json& object) {
        return grant_view{rest.substr(0, slash),
                          rest.substr(slash + 1),
                          object.at("granted").get<token_count>(),
                          object.value("sent", totals{}),
                          object.value("received", totals{}),
                          object.value("closed", false),
                          object.value("charged_in_full", false)};
    });
}

result<instance_view> decode_instance(const table_row& row)
{
    return decode("row " + row.key, row.value, [&](const json& object) {
        const auto final_segment = object.find("final_segment");
        return instance_view{row.key.substr(instance_prefix.size()),
                             object.at("instance").get<std::string>(),
                             object.value("http_address", ""),
                             object.value("peer_address", ""),
                             object.value("failure_domain", ""),
                             object.at("state").get<std::string>(),
                             object.value("term", std::int64_t{0}),
                             final_segment != object.end() && final_segment->is_number_integer()
                                 ? final_segment->get<std::int64_t>()
                                 : 0};
    });
}

segment_view read_segment(const json& object)
{
    segment_view segment;
    segment.incarnation = object.at("incarnation").get<std::string>();
    segment.seq = object.at("seq").get<std::int64_t>();
    for (const auto& budget : object.value("budgets", json::array())) {
        segment.spent[budget.at("name").get<std::string>()] = budget.at("spent").get<token_count>();
    }
    for (const auto& bill : object.value("bills", json::array())) {
        segment.bills.push_back(
            {bill.at("account").get<std::string>(), bill.at("key").get<std::string>(),
             bill.at("budget").get<std::string>(), bill.at("tokens").get<token_count>()});
    }
    return segment;
}
} // namespace

token_count grant_view::entitled() const
{
    return granted - sum(sent) + sum(received);
}

result<std::vector<grant_view>> load_grants(http_platform& platform)
{
    const auto rows = scan_all(platform, std::string{grant_prefix});
    if (!rows) {
        return rows.error();
    }
    std::vector<grant_view> grants;
    for (const auto& row : *rows) {
        auto grant = decode_grant(row);
        if (!grant) {
            return grant.error();
        }
        grants.push_back(std::move(grant).value());
    }
    return grants;
}

result<std::map<std::string, ledger_view>> load_ledgers(http_platform& platform)
{
    const auto rows = scan_all(platform, std::string{ledger_prefix});
    if (!rows) {
        return rows.error();
    }
    std::map<std::string, ledger_view> ledgers;
    for (const auto& row : *rows) {
        const auto allocated = decode("row " + row.key, row.value, [](const json& object) {
            return object.at("allocated").get<token_count>();
        });
        if (!allocated) {
            return allocated.error();
        }
        ledgers[row.key.substr(ledger_prefix.size())] = {*allocated, row.version};
    }
    return ledgers;
}

result<std::map<std::string, instance_view>> load_instances(http_platform& platform)
{
    const auto rows = scan_all(platform, std::string{instance_prefix});
    if (!rows) {
        return rows.error();
    }
    std::map<std::string, instance_view> instances;
    for (const auto& row : *rows) {
        const auto instance = decode_instance(row);
        if (!instance) {
            return instance.error();
        }
        instances[instance->incarnation] = *instance;
    }
    return instances;
}

result<segment_names> load_segment_names(http_platform& platform)
{
    const auto names = platform.list(std::string{segment_prefix});
    if (!names) {
        return names.error();
    }
    segment_names by_incarnation;
    for (const auto& name : *names) {
        const auto rest = name.substr(segment_prefix.size());
        by_incarnation[rest.substr(0, rest.find('/'))].push_back(name);
    }
    return by_incarnation;
}

result<segment_view> load_segment(http_platform& platform, const std::string& name)
{
    const auto text = platform.get(name);
    return text ? decode("object " + name, *text, &read_segment)
                : result<segment_view>{text.error()};
}

std::int64_t sequence_of(const std::string& name)
{
    const auto digits = std::string_view{name}.substr(name.rfind('/') + 1);
    std::int64_t seq = -1;
    const auto* const end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, seq);
    return error == std::errc{} && rest == end ? seq : -1;
}

} // namespace jujubevalve
