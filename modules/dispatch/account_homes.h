#pragma once

#include "core/time_ms.h"

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// An instance that may be the home of accounts.
struct home_candidate {
    std::string instance;
    std::string address; ///< where it takes reservations of other instances, ip:port

    friend bool operator==(const home_candidate&, const home_candidate&) = default;
};

/// Assigns each account to a home: the instance that draws its grants and reserves tokens for the
/// requests of all instances. With a single holder no tokens lie idle at one instance while another
/// lacks them, and the account's ledger has one writer. By rendezvous hashing all instances with
/// the same candidates agree without communication; if they differ for a while, an account has two
/// holders, each of which spends only what it was granted.
class account_homes
{
public:
    /// Homes that are tried one after the other.
    static constexpr std::size_t max_homes = 2;

    explicit account_homes(std::string own_instance);

    /// Returns whether the candidates differ from those before.
    bool set_candidates(std::vector<home_candidate> candidates);

    [[nodiscard]] bool empty() const { return candidates_.empty(); }

    /// Returns the account's homes in order of preference. Those that did not respond recently come
    /// last.
    [[nodiscard]] std::vector<home_candidate> homes(std::string_view account, time_ms now) const;

    /// Returns this instance's position among the account's homes, 0 for the first.
    [[nodiscard]] std::optional<std::size_t> own_rank(std::string_view account) const;

    [[nodiscard]] bool is_own(const home_candidate& home) const
    {
        return home.instance == own_instance_;
    }

    /// Records that an instance did not respond in time. It is avoided for a time that doubles with
    /// each further failure.
    void note_failure(const std::string& instance, time_ms now);
    /// Records a response of an instance.
    void note_response(const std::string& instance);

private:
    struct suspicion {
        time_ms until{};
        int failures{0};
    };

    [[nodiscard]] std::vector<const home_candidate*> ranked(std::string_view account) const;

    std::string own_instance_;
    std::vector<home_candidate> candidates_;
    std::map<std::string, suspicion, std::less<>> suspicions_; ///< by instance
};

} // namespace jujubevalve
