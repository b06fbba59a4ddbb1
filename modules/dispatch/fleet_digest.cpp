#include "dispatch/fleet_digest.h"

#include "budget/json_fields.h"
#include "core/digest.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>
#include <set>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::size_t max_publishers = 2;
constexpr auto max_int64 = std::numeric_limits<std::int64_t>::max();
} // namespace

std::string to_text(const digest_entry& entry)
{
    return std::to_string(entry.source_version) + " " + entry.content.value_or("");
}

result<digest_entry> parse_digest_entry(std::string_view text)
{
    digest_entry entry;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, entry.source_version);
    if (parsed.ec != std::errc{} || parsed.ptr == end || *parsed.ptr != ' ') {
        return failure{result_code::malformed_row, "a digest row has no version"};
    }
    if (parsed.ptr + 1 != end) {
        entry.content = std::string{parsed.ptr + 1, end};
    }
    return entry;
}

std::string encode_digest_server(const server_entry& entry)
{
    return nlohmann::json{{"service", entry.service},
                          {"address", entry.address},
                          {"domain", entry.failure_domain},
                          {"slots", entry.slots},
                          {"leaving", entry.leaving},
                          {"incarnation", entry.incarnation},
                          {"cold_until_ms", entry.cold_until.count()}}
        .dump();
}

result<server_entry> decode_digest_server(const std::string& id, std::string_view text)
{
    return json_fields::read<server_entry>(
        text, "digest of server " + id, [&id](const nlohmann::json& object) {
            server_entry entry;
            entry.id = id;
            entry.service = json_fields::text(object, "service");
            entry.address = json_fields::text(object, "address");
            entry.failure_domain = json_fields::text(object, "domain");
            entry.slots = json_fields::whole_number(object, "slots", 1, 1'000'000);
            entry.leaving = json_fields::truth(object, "leaving");
            entry.incarnation = json_fields::whole_number(object, "incarnation", 0, max_int64);
            // Publishers of an earlier version do not write it.
            entry.cold_until =
                time_ms{json_fields::number_or(object, "cold_until_ms", 0, 0, max_int64)};
            return entry;
        });
}

std::string to_text(const digest_status& status)
{
    return nlohmann::json{{"stamp_ms", status.stamp.count()},
                          {"live", status.live_instances},
                          {"demand", status.demand},
                          {"short_of", status.short_accounts}}
        .dump();
}

result<digest_status> parse_digest_status(std::string_view text)
{
    return json_fields::read<digest_status>(
        text, "digest status", [](const nlohmann::json& object) {
            digest_status status;
            status.stamp = time_ms{json_fields::whole_number(object, "stamp_ms", 0, max_int64)};
            status.live_instances = json_fields::whole_number(object, "live", 1, 1'000'000);
            status.demand = json_fields::token_counts(object, "demand");
            status.short_accounts = object.value("short_of", std::vector<std::string>{});
            return status;
        });
}

std::optional<std::size_t> publisher_rank(const std::vector<std::string>& listed_instances,
                                          std::string_view instance)
{
    constexpr std::uint64_t seed = 1;
    const auto own_weight = hash64(instance, seed);
    std::size_t rank = 0;
    bool is_listed = false;
    for (const auto& listed : listed_instances) {
        is_listed = is_listed || listed == instance;
        rank += hash64(listed, seed) > own_weight ? 1 : 0;
    }
    return is_listed && rank < max_publishers ? std::optional{rank} : std::nullopt;
}

void digest_publisher::observe(const table_row& row)
{
    if (row.version == 0) {
        return;
    }
    auto& known = rows_[row.key];
    if (row.version <= known.version) {
        return;
    }
    known.version = row.version;
    // A malformed row counts as one of an old version, so that it is replaced.
    const auto entry = parse_digest_entry(row.value);
    known.entry = entry ? *entry : digest_entry{};
}

digest_publisher::changes digest_publisher::plan(const std::vector<digest_source>& sources) const
{
    changes planned;
    const auto replace = [&](const std::string& key, const known_row* known,
                             const digest_entry& entry) {
        if (planned.write.writes.size() >= max_rows) {
            planned.is_complete = false;
            return;
        }
        planned.write.conditions.push_back({key, known == nullptr ? 0 : known->version});
        planned.write.writes.push_back({key, to_text(entry)});
    };
    for (const auto& source : sources) {
        for (const auto& [key, content] : source.contents) {
            const auto found = rows_.find(key);
            const auto* const known = found == rows_.end() ? nullptr : &found->second;
            if (known == nullptr ||
                (known->entry.content != content && known->entry.source_version < source.version)) {
                replace(key, known, {source.version, content});
            }
        }
        for (auto row = rows_.lower_bound(source.prefix);
             row != rows_.end() && row->first.starts_with(source.prefix); ++row) {
            if (row->second.entry.content && !source.contents.contains(row->first) &&
                row->second.entry.source_version < source.version) {
                replace(row->first, &row->second, {source.version, std::nullopt});
            }
        }
    }
    return planned;
}

void digest_publisher::committed(const transaction& write,
                                 const std::vector<std::int64_t>& versions)
{
    for (std::size_t i = 0; i < std::min(write.writes.size(), versions.size()); ++i) {
        observe({write.writes[i].key, write.writes[i].value, versions[i]});
    }
}

} // namespace jujubevalve
