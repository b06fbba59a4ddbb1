#pragma once

#include "core/result.h"
#include "requests/final_records.h"
#include "requests/key_prefix.h"

#include <concepts>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// What this instance knows about the incarnation that is a key's home.
enum class home_state {
    live,    ///< known, and its termination is not proved; it may be unreachable
    drained, ///< ended after a drain and left final records
    gone,    ///< unknown, or terminated without a drain
};

/// Result of an incarnation_directory's look-up.
struct incarnation_info {
    home_state state{home_state::gone};
    std::string peer_address;                     ///< set if live
    std::shared_ptr<const final_records> records; ///< set if drained and already loaded
};

/// Looks up the state of an incarnation from gossip, instance rows and final segments.
template <class T>
concept incarnation_directory = requires(const T& directory, const std::string& incarnation)
{
    {
        directory.find(incarnation)
        } -> std::same_as<incarnation_info>;
};

/// What this instance does with a non-idempotent request.
enum class home_action {
    run_here,        ///< call begin() here, or confirm_home() after inserting the intent row
    forward,         ///< withdraw() it if begun, then send it to `incarnation` at `peer_address`
    write_intent,    ///< call begin() with the home unconfirmed, then insert the intent row
    retry_intent,    ///< the insert's outcome is unknown: read the row and insert it again
    refuse,          ///< fail with `error`; the request has not run
    outcome_unknown, ///< fail with `error`; the request may have run
};

/// Decision of key_home about one request.
struct home_decision {
    home_action action{home_action::refuse};
    std::string incarnation;
    std::string peer_address;
    std::int64_t epoch{0}; ///< of the issued prefix or of the existing intent row
    failure error;
};

/// Value of the row `intent/<account>/<key digest>`, which assigns a home to a caller-generated
/// key. `epoch` is the epoch of the named incarnation when it wrote the row, so that a
/// caller-generated key has the same lifetime as an issued one.
struct intent_row {
    std::string incarnation;
    std::int64_t epoch{0};

    /// Returns the name of the row.
    static std::string name(std::string_view account, std::string_view key);

    [[nodiscard]] std::string to_json() const;

    /// Parses the JSON form. Fails with `malformed_row`.
    static result<intent_row> from_json(std::string_view text);

    friend bool operator==(const intent_row&, const intent_row&) = default;
};

/// Outcome of inserting an intent row if it does not exist in the platform's store.
enum class intent_outcome {
    inserted,    ///< committed by this call
    exists,      ///< the row already existed and has been read
    unknown,     ///< the insert may take effect now or later
    unavailable, ///< the platform certainly did not receive the insert
};

/// Result of inserting an intent row.
struct intent_result {
    intent_outcome outcome{intent_outcome::unknown};
    intent_row row;      ///< the existing row, or the inserted one
    int attempt{0};      ///< the request's execution_request::attempt
    bool give_up{false}; ///< no time is left to retry the insert
};

/// Decides where a non-idempotent request runs. Only one incarnation, the key's home, may ever run
/// a key: the one that issued its prefix, or the one that its intent row names.
class key_home
{
public:
    key_home(std::string incarnation, key_prefix prefixes);

    /// Decides from the key before any intent row is written.
    template <incarnation_directory Directory>
    [[nodiscard]] home_decision decide(std::string_view account, std::string_view key,
                                       const Directory& directory) const;

    /// Decides from the result of inserting the intent row.
    template <incarnation_directory Directory>
    [[nodiscard]] home_decision after_intent(std::string_view account, std::string_view key,
                                             const intent_result& result,
                                             const Directory& directory) const;

    /// Returns the outcome to report when an instance other than the key's home refuses a request.
    /// Only a first attempt that was not forwarded certainly has not run; a copy of any other may
    /// run at the home.
    [[nodiscard]] static run_outcome refusal_away_from_home(int attempt, bool maybe_forwarded);

private:
    [[nodiscard]] home_decision decide_by_key(std::string_view account, std::string_view key) const;
    [[nodiscard]] home_decision decide_by_intent(const intent_result& result) const;
    [[nodiscard]] static home_decision decide_remote(home_decision decision,
                                                     std::string_view account, std::string_view key,
                                                     const incarnation_info& info);

    std::string incarnation_;
    key_prefix prefixes_;
};

template <incarnation_directory Directory>
home_decision key_home::decide(std::string_view account, std::string_view key,
                               const Directory& directory) const
{
    auto decision = decide_by_key(account, key);
    if (decision.action != home_action::forward) {
        return decision;
    }
    const auto info = directory.find(decision.incarnation);
    return decide_remote(std::move(decision), account, key, info);
}

template <incarnation_directory Directory>
home_decision key_home::after_intent(std::string_view account, std::string_view key,
                                     const intent_result& result, const Directory& directory) const
{
    auto decision = decide_by_intent(result);
    if (decision.action != home_action::forward) {
        return decision;
    }
    const auto info = directory.find(decision.incarnation);
    return decide_remote(std::move(decision), account, key, info);
}

} // namespace jujubevalve
