#pragma once

#include "core/result.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// What a drained incarnation leaves behind about its non-idempotent keys, so that others can tell
/// `not run` from `unknown`. It belongs to the incarnation's final segment and is valid only if it
/// was taken after the last request had ended.
class final_records
{
public:
    final_records() = default;

    /// `sent` holds record digests; keys of epochs before `first_epoch` are no longer in it.
    final_records(std::string incarnation, std::int64_t first_epoch,
                  std::set<std::string, std::less<>> sent);

    /// Reads the JSON form. Fails with `malformed_row`.
    static result<final_records> from_json(std::string_view text);

    /// The JSON form, in one line.
    [[nodiscard]] std::string to_json() const;

    /// Whether the records prove that the key was never sent to a backend server. The epoch is that
    /// of the issued prefix or of the intent row.
    [[nodiscard]] bool proves_not_run(std::string_view account, std::string_view key,
                                      std::int64_t epoch) const;

    [[nodiscard]] const std::string& incarnation() const { return incarnation_; }
    [[nodiscard]] std::size_t size() const { return sent_.size(); }

    /// Digest of account and key in these records, 16 hex digits. Two keys with the same digest
    /// only turn a `not run` into an `unknown`.
    static std::string digest_of(std::string_view account, std::string_view key);

    friend bool operator==(const final_records&, const final_records&) = default;

private:
    std::string incarnation_;
    std::int64_t first_epoch_{0};
    std::set<std::string, std::less<>> sent_;
};

} // namespace jujubevalve
