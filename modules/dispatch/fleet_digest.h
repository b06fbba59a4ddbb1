#pragma once

#include "core/result.h"
#include "core/time_ms.h"
#include "dispatch/instance_registry.h"
#include "dispatch/server_entry.h"
#include "storage/table_store.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

// In a large fleet it costs too much if every instance reads the heartbeats of all servers and all
// instances. Two publishers read them and maintain a digest in the store: a row for each server and
// for each listed instance, rewritten only when it changes, and a status row of each publisher that
// tells up to which time the digest is complete. The other instances follow the digest while it is
// fresh, and the heartbeats themselves while it is not.

/// Content of a digest row, with the version of the source table that it is based on. Rows are
/// never replaced by ones of an older version.
struct digest_entry {
    std::int64_t source_version{0};
    std::optional<std::string> content; ///< nothing: the server or instance is gone

    friend bool operator==(const digest_entry&, const digest_entry&) = default;
};

std::string to_text(const digest_entry& entry);
/// Fails with `malformed_row`.
result<digest_entry> parse_digest_entry(std::string_view text);

/// Content of a server's row. Fails with `malformed_row`.
std::string encode_digest_server(const server_entry& entry);
result<server_entry> decode_digest_server(const std::string& id, std::string_view text);

/// A publisher's status row.
struct digest_status {
    time_ms stamp{};                         ///< store time up to which the digest is complete
    std::int64_t live_instances{1};          ///< in the whole fleet
    account_demand demand;                   ///< of the whole fleet, tokens per second
    std::vector<std::string> short_accounts; ///< of which some instance lacks tokens

    friend bool operator==(const digest_status&, const digest_status&) = default;
};

std::string to_text(const digest_status& status);
/// Fails with `malformed_row`.
result<digest_status> parse_digest_status(std::string_view text);

/// Returns the position of an instance among the publishers, 0 for the first; nothing if it is
/// none. Instances with the same list agree.
std::optional<std::size_t> publisher_rank(const std::vector<std::string>& listed_instances,
                                          std::string_view instance);

/// A part of what the digest must show: the rows whose keys begin with `prefix`.
struct digest_source {
    std::string prefix;
    std::int64_t version{0};                     ///< of the source table, as last read
    std::map<std::string, std::string> contents; ///< by key, with the prefix
};

/// Plans the writes that bring the digest up to date. Each is conditional on the rows that it
/// replaces, so that publishers which write at the same time do not undo each other's changes.
class digest_publisher
{
public:
    /// Max rows that one write changes; each takes a condition and a write, of at most 100 entries.
    static constexpr std::size_t max_rows = 45;

    /// Records a row of the digest, as read or as returned by a conflicting write.
    void observe(const table_row& row);

    /// Returns the rows that differ from the sources, at most `max_rows`, and whether these are
    /// all.
    struct changes {
        transaction write;
        bool is_complete{true};
    };
    [[nodiscard]] changes plan(const std::vector<digest_source>& sources) const;

    /// Records that a planned write was committed.
    void committed(const transaction& write, const std::vector<std::int64_t>& versions);

private:
    struct known_row {
        std::int64_t version{0};
        digest_entry entry;
    };

    std::map<std::string, known_row, std::less<>> rows_;
};

} // namespace jujubevalve
