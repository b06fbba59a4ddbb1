#pragma once

#include "dispatch/ledger_recovery.h"
#include "gateway/ledger_store.h"
#include "net/event_loop.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace jujubevalve
{

/// Follows the grants of all instances in the store and keeps what it has seen of them, so that
/// they are known when the store has lost them. Starts with a full read of the accounts' grants,
/// then reads changes a few times a second.
class grant_replica
{
public:
    grant_replica(event_loop& loop, store_client& store);
    ~grant_replica();
    grant_replica(const grant_replica&) = delete;
    grant_replica& operator=(const grant_replica&) = delete;

    /// Follows the grants of the current era, whose ledgers are open. Does nothing if it does
    /// already. Accounts that are added later have no grants before.
    void follow(const std::vector<std::string>& accounts);

    /// Stops following and forgets everything.
    void stop();

    /// Keeps what was seen, but stops following until the ledgers of the new era are open.
    void begin_era(row_era era);

    /// Returns how far the grants have been read; nothing before the first full read.
    [[nodiscard]] const std::optional<grants_read>& read() const { return read_; }

    /// Adds a grant whose row may not have been read. Returns whether it was unknown.
    bool add(const announced_grant& grant);

    /// Returns the announced grants whose rows have not been read.
    [[nodiscard]] std::vector<announced_grant> unread() const;

    /// Returns the grants of an account, as read last.
    [[nodiscard]] known_grants grants(std::string_view account) const;

private:
    void read_accounts(std::int64_t attempt, std::vector<std::string> accounts);
    void read_opening(std::int64_t attempt, std::vector<std::string> accounts);
    void read_changes(std::int64_t attempt);
    void retry(std::int64_t attempt, time_ms delay);
    void forget_read();
    using account_grants = std::map<std::string, known_grants, std::less<>>;

    static void apply_grant(account_grants& grants, const std::string& key, std::string_view text);

    /// A full read that is under way.
    struct listing {
        account_grants grants;
        grants_read read;
        std::optional<std::int64_t> version; ///< of the store at the first page
    };

    event_loop& loop_;
    store_client& store_;
    ledger_store rows_;
    account_grants grants_; ///< as known after the last full read
    std::optional<grants_read> read_;
    listing listing_;
    /// Latest unread ones by account and incarnation.
    std::map<std::pair<std::string, std::string>, announced_grant> announced_;
    std::vector<std::string> accounts_;
    std::int64_t attempt_{0}; ///< responses to earlier attempts are ignored
    std::int64_t version_{0};
    bool is_following_{false};
    bool is_listed_{false};
    timer_id timer_{0};
};

} // namespace jujubevalve
