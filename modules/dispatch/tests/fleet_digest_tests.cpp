#include "dispatch/fleet_digest.h"

#include <CppUTest/TestHarness.h>
#include <map>
#include <set>
#include <string>

using namespace jujubevalve;

namespace
{
/// The digest's rows in the store, with conditional writes.
class fake_digest_table
{
public:
    std::optional<std::vector<std::int64_t>> commit(const transaction& write)
    {
        for (const auto& condition : write.conditions) {
            const auto found = rows_.find(condition.key);
            if ((found == rows_.end() ? 0 : found->second.version) != condition.version) {
                return std::nullopt;
            }
        }
        ++version_;
        ++commits;
        for (const auto& row : write.writes) {
            rows_[row.key] = {row.key, row.value, version_};
            bytes += static_cast<std::int64_t>(row.value.size());
        }
        return std::vector<std::int64_t>(write.writes.size(), version_);
    }
    void read_into(digest_publisher& publisher) const
    {
        for (const auto& [key, row] : rows_) {
            publisher.observe(row);
        }
    }
    [[nodiscard]] std::optional<std::string> content(const std::string& key) const
    {
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt
                                    : parse_digest_entry(found->second.value)->content;
    }

    int commits{0};
    std::int64_t bytes{0};

private:
    std::map<std::string, table_row> rows_;
    std::int64_t version_{0};
};
} // namespace

TEST_GROUP(fleet_digest)
{
    fake_digest_table table;
    digest_publisher first;
    digest_publisher second;

    static digest_source servers(std::int64_t version, std::map<std::string, std::string> contents)
    {
        return {"digest/server/", version, std::move(contents)};
    }
    /// Writes everything that differs; returns the number of writes.
    int publish(digest_publisher & publisher, const digest_source& source)
    {
        int writes = 0;
        while (true) {
            const auto planned = publisher.plan({source});
            if (planned.write.writes.empty()) {
                return writes;
            }
            CHECK(planned.write.writes.size() <= digest_publisher::max_rows);
            const auto versions = table.commit(planned.write);
            if (!versions) {
                table.read_into(publisher);
                continue;
            }
            publisher.committed(planned.write, *versions);
            ++writes;
        }
    }
};

TEST(fleet_digest, entries_are_read_as_they_were_written)
{
    for (const auto& entry : {digest_entry{7, "{\"a\": 1}"}, digest_entry{8, std::nullopt}}) {
        CHECK(*parse_digest_entry(to_text(entry)) == entry);
    }
    for (const auto* text : {"", " ", "x 1", "12", "12x"}) {
        CHECK_FALSE(parse_digest_entry(text).has_value());
    }
    const server_entry server{"s1", "models", "10.0.0.1:80", "a", 32, true, time_ms{70}, 99};
    CHECK(*decode_digest_server("s1", encode_digest_server(server)) == server);
    const digest_status status{time_ms{5}, 295, {{"crew", 1000}}, {"office"}};
    CHECK(*parse_digest_status(to_text(status)) == status);
}

// Load pattern: 160 servers renew their registrations every 1.2 s without a change, for a minute.
// What 295 instances read must not grow with the renewals.
TEST(fleet_digest, renewals_without_a_change_are_not_published)
{
    std::map<std::string, std::string> contents;
    for (int i = 0; i < 160; ++i) {
        contents["digest/server/s" + std::to_string(i)] = "unchanged";
    }
    CHECK_EQUAL(4, publish(first, servers(1, contents)));
    const auto bytes = table.bytes;
    for (int renewal = 2; renewal < 52; ++renewal) {
        CHECK_EQUAL(0, publish(first, servers(renewal, contents)));
    }
    CHECK_EQUAL(bytes, table.bytes);
}

TEST(fleet_digest, changes_and_removals_are_published)
{
    publish(first, servers(1, {{"digest/server/s1", "ready"}, {"digest/server/s2", "ready"}}));
    publish(first, servers(2, {{"digest/server/s1", "leaving"}}));
    STRCMP_EQUAL("leaving", table.content("digest/server/s1")->c_str());
    CHECK_FALSE(table.content("digest/server/s2").has_value());
    publish(first, servers(3, {{"digest/server/s1", "leaving"}, {"digest/server/s2", "ready"}}));
    STRCMP_EQUAL("ready", table.content("digest/server/s2")->c_str());
}

// Guards against sending work to a leaving server again because a publisher that was frozen wakes
// up with an old view.
TEST(fleet_digest, a_publisher_that_lags_does_not_undo_a_change)
{
    publish(first, servers(10, {{"digest/server/s1", "ready"}}));
    table.read_into(second);
    publish(first, servers(20, {{"digest/server/s1", "leaving"}}));
    CHECK_EQUAL(0, publish(second, servers(15, {{"digest/server/s1", "ready"}})));
    STRCMP_EQUAL("leaving", table.content("digest/server/s1")->c_str());
    publish(first, servers(30, {}));
    CHECK_EQUAL(0, publish(second, servers(25, {{"digest/server/s1", "leaving"}})));
    CHECK_FALSE(table.content("digest/server/s1").has_value());
}

TEST(fleet_digest, a_malformed_row_is_replaced)
{
    first.observe({"digest/server/s1", "nonsense", 5});
    const auto planned = first.plan({servers(9, {{"digest/server/s1", "ready"}})});
    CHECK_EQUAL(1U, planned.write.writes.size());
    CHECK_EQUAL(5, planned.write.conditions.front().version);
}

TEST(fleet_digest, two_listed_instances_are_publishers)
{
    std::vector<std::string> listed;
    for (int i = 0; i < 15; ++i) {
        listed.push_back("i-" + std::to_string(i));
    }
    std::set<std::size_t> ranks;
    for (const auto& instance : listed) {
        if (const auto rank = publisher_rank(listed, instance)) {
            ranks.insert(*rank);
        }
    }
    CHECK((ranks == std::set<std::size_t>{0, 1}));
    CHECK_FALSE(publisher_rank(listed, "not listed").has_value());
}
