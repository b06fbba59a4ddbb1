#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace jujubevalve::site
{

/// The rows of the users' store with its transactions and change feed, in the JSON of its calls.
/// Safe from any thread.
class row_store
{
public:
    /// A status and a body.
    struct answer {
        int status{200};
        nlohmann::json body;
    };

    /// Applies a transaction: 200, or 412 with the present rows of the conditions.
    answer commit(const nlohmann::json& change);

    /// Rows of a part in key order.
    [[nodiscard]] answer list(const std::string& table, const std::string& part,
                              const std::string& from, const std::string& to) const;

    /// Changes of a table after a version; waits for one. 410 if they are no longer kept.
    answer follow(const std::string& table, std::int64_t after, std::int64_t wait_ms);

    /// Writes, or removes if the value is empty, one row as the operator or a server does.
    void put(const std::string& table, const std::string& key, const std::string& value);

    /// Forgets the history: a feed from before now gets 410.
    void forget_history();

    /// Ends all waiting feeds, now and later.
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
    std::map<row_key, row> rows_; ///< removed rows stay, marked
    std::int64_t version_{0};
    std::int64_t oldest_{0};
    bool stopped_{false};
};

} // namespace jujubevalve::site
