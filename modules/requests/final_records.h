#pragma once

#include "core/result.h"

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace jujubevalve
{

/// The non-idempotent keys that a drained incarnation has sent to backend servers. Other
/// incarnations use it to tell the outcome `not run` from `unknown`. It is stored with the
/// incarnation's final segment and is valid only if taken after its last request has ended.
class final_records
{
public:
    final_records() = default;

    /// `sent` holds the digests of the sent keys, see digest_of(). Keys of epochs before
    /// `first_epoch` are no longer included.
    final_records(std::string incarnation, std::int64_t first_epoch,
                  std::set<std::string, std::less<>> sent);

    /// Parses the JSON form. Fails with `malformed_row`.
    static result<final_records> from_json(std::string_view text);

    /// Returns the JSON form, on one line.
    [[nodiscard]] std::string to_json() const;

    /// Returns whether the records prove that the key was never sent to a backend server. `epoch`
    /// is the epoch of the issued prefix or of the intent row.
    [[nodiscard]] bool proves_not_run(std::string_view account, std::string_view key,
                                      std::int64_t epoch) const;

    [[nodiscard]] const std::string& incarnation() const { return incarnation_; }
    [[nodiscard]] std::size_t size() const { return sent_.size(); }

    /// Returns the digest of account and key that these records store, 16 hex digits. A collision
    /// is harmless: it only turns the outcome `not run` of one key into `unknown`.
    static std::string digest_of(std::string_view account, std::string_view key);

    friend bool operator==(const final_records&, const final_records&) = default;

private:
    std::string incarnation_;
    std::int64_t first_epoch_{0};
    std::set<std::string, std::less<>> sent_;
};

} // namespace jujubevalve
