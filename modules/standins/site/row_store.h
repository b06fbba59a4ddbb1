#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve::site
{

/// The rows, transactions and change feed of the store that users provide, in the JSON of its API.
/// Thread-safe.
class row_store
{
public:
    /// An HTTP status and a JSON body.
    struct answer {
        int status{200};
        nlohmann::json body;
    };

    /// Applies a transaction: 200, or 412 with the current rows of its conditions.
    answer commit(const nlohmann::json& change);

    /// Returns the rows of a partition (`part`) in key order.
    [[nodiscard]] answer list(const std::string& table, const std::string& part,
                              const std::string& from, const std::string& to) const;

    /// Returns the changes of a table after a version; waits up to `wait_ms` for one. 410 if they
    /// are no longer kept, or if the store has never reached that version.
    answer follow(const std::string& table, std::int64_t after, std::int64_t wait_ms);

    /// Writes one row, or removes it if the value is empty, as the operator or a server does.
    void put(const std::string& table, const std::string& key, const std::string& value);

    /// Discards the change history: a feed that starts at an older version gets 410.
    void forget_history();

    /// The rows of all tables and the newest version at one moment.
    class copy;
    [[nodiscard]] std::shared_ptr<const copy> make_copy() const;

    /// Replaces the content by that of a copy and begins the next era. What the operator and the
    /// servers wrote since is written again, under new versions; what the system wrote is gone.
    void restore(const copy& from);

    /// Number of the era, from 1.
    [[nodiscard]] std::int64_t era() const;

    /// Ends all waiting feeds; later calls do not wait.
    void stop();

    /// Value of a row; empty if absent.
    [[nodiscard]] std::string value(const std::string& table, const std::string& part,
                                    const std::string& key) const;

private:
    struct row {
        std::string value;
        std::int64_t version{0};
        bool deleted{false};
    };
    struct row_key {
        std::string table;
        std::string part;
        std::string key;
        friend auto operator<=>(const row_key&, const row_key&) = default;
    };

    [[nodiscard]] static row_key key_of(const nlohmann::json& object);
    [[nodiscard]] static nlohmann::json to_json(const row_key& key, const row& item);
    [[nodiscard]] nlohmann::json envelope() const;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::map<row_key, row> rows_; ///< removed rows stay, with `deleted` set
    std::int64_t version_{0};
    std::int64_t oldest_{0};
    std::int64_t era_{1};
    bool stopped_{false};
};

class row_store::copy
{
public:
    copy(std::map<row_key, row> rows, std::int64_t version)
        : rows_{std::move(rows)}
        , version_{version}
    {
    }

private:
    friend class row_store;

    std::map<row_key, row> rows_;
    std::int64_t version_;
};

} // namespace jujubevalve::site
