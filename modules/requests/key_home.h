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

/// What this instance knows about an incarnation.
enum class home_state {
    live,    ///< known and not proved gone; it may be unreachable
    drained, ///< it ended in good order and left final records
    gone,    ///< unknown, dead or closed
};

/// Answer of an incarnation_directory.
struct incarnation_info {
    home_state state{home_state::gone};
    std::string peer_address;                     ///< set if live
    std::shared_ptr<const final_records> records; ///< set if drained and already read
};

/// Tells the state of an incarnation from gossip, instance rows and final segments.
template <class T>
concept incarnation_directory = requires(const T& directory, const std::string& incarnation)
{
    {
        directory.find(incarnation)
        } -> std::same_as<incarnation_info>;
};

/// What this instance does with a non-idempotent request.
enum class home_action {
    run_here,        ///< begin() it here, or confirm_home() it after an insert
    forward,         ///< withdraw() it if begun; send it to `incarnation` at `peer_address`
    write_intent,    ///< begin() it here unconfirmed, then insert the intent row
    retry_intent,    ///< the insert's outcome is unknown: read the row and insert it again
    refuse,          ///< answer with `why`, not run
    outcome_unknown, ///< answer with `why`, outcome unknown
};

/// Result of key_home.
struct home_decision {
    home_action action{home_action::refuse};
    std::string incarnation;
    std::string peer_address;
    std::int64_t epoch{0}; ///< of the issued prefix or of the existing intent row
    failure why;
};

/// Value of the row `intent/<account>/<key digest>`. The epoch is that of the naming incarnation
/// when it wrote the row: it gives a caller-generated key the same lifetime as an issued one.
struct intent_row {
    std::string incarnation;
    std::int64_t epoch{0};

    /// Name of the row.
    static std::string name(std::string_view account, std::string_view key);

    [[nodiscard]] std::string to_json() const;

    /// Fails with `malformed_row`.
    static result<intent_row> from_json(std::string_view text);

    friend bool operator==(const intent_row&, const intent_row&) = default;
};

/// The platform's answer to the insert-if-absent of an intent row.
enum class intent_outcome {
    inserted,    ///< committed by this call
    exists,      ///< a row was there; read it
    unknown,     ///< may take effect now or later
    unavailable, ///< certainly not delivered
};

/// Result of an insert of an intent row.
struct intent_result {
    intent_outcome outcome{intent_outcome::unknown};
    intent_row row;      ///< the existing row, or the inserted one
    int attempt{0};      ///< execution_request::attempt
    bool give_up{false}; ///< the time for further inserts has run out
};

/// Decides where a non-idempotent request may run. Only one incarnation may ever run a key: the one
/// that issued its prefix, or the one that its intent row names.
class key_home
{
public:
    key_home(std::string incarnation, key_prefix prefixes);

    /// Decides by the key alone.
    template <incarnation_directory Directory>
    [[nodiscard]] home_decision decide(std::string_view account, std::string_view key,
                                       const Directory& directory) const;

    /// Decides after an attempt to insert the intent row.
    template <incarnation_directory Directory>
    [[nodiscard]] home_decision after_intent(std::string_view account, std::string_view key,
                                             const intent_result& result,
                                             const Directory& directory) const;

    /// What a refusal at an instance that is not the key's home may claim. Only the first attempt,
    /// if nothing of it was sent on, is known not to have run; any other may have a copy elsewhere.
    [[nodiscard]] static run_outcome refusal_away_from_home(int attempt, bool maybe_forwarded);

private:
    [[nodiscard]] home_decision by_key(std::string_view account, std::string_view key) const;
    [[nodiscard]] home_decision by_intent(const intent_result& result) const;
    [[nodiscard]] static home_decision elsewhere(home_decision decision, std::string_view account,
                                                 std::string_view key,
                                                 const incarnation_info& info);

    std::string incarnation_;
    key_prefix prefixes_;
};

template <incarnation_directory Directory>
home_decision key_home::decide(std::string_view account, std::string_view key,
                               const Directory& directory) const
{
    auto decision = by_key(account, key);
    if (decision.action != home_action::forward) {
        return decision;
    }
    const auto info = directory.find(decision.incarnation);
    return elsewhere(std::move(decision), account, key, info);
}

template <incarnation_directory Directory>
home_decision key_home::after_intent(std::string_view account, std::string_view key,
                                     const intent_result& result, const Directory& directory) const
{
    auto decision = by_intent(result);
    if (decision.action != home_action::forward) {
        return decision;
    }
    const auto info = directory.find(decision.incarnation);
    return elsewhere(std::move(decision), account, key, info);
}

} // namespace jujubevalve
