#pragma once

#include "core/result.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Reads the fields of a JSON object and collects a failure for each error, so that an operator
/// sees all of them at once. An invalid or missing field reads as an empty value, or as the minimum
/// of its range.
class row_reader
{
public:
    /// `location` is the table and row, as named in messages.
    row_reader(std::string location, const nlohmann::json& object, std::vector<failure>& errors);

    /// Reads a name: 1 to 64 letters, digits, dots, underscores or hyphens, the first a letter or
    /// digit.
    std::string name(const std::string& field);

    /// Reads a name or an empty string.
    std::string optional_name(const std::string& field);

    /// Reads any string.
    std::string text(const std::string& field);

    /// Reads a SHA-256 digest. Messages never show its value: an operator may have pasted the
    /// bearer key itself.
    std::string digest(const std::string& field);

    /// Reads an `ip:port` address with a port from 1 to 65535.
    std::string address(const std::string& field);

    /// Reads an integer in [low, high].
    std::int64_t number(const std::string& field, std::int64_t low, std::int64_t high);

    /// Reads a boolean.
    bool flag(const std::string& field);

    /// Reads a string that is one of two values. Returns false for the first, true for the second.
    bool choice(const std::string& field, std::string_view first, std::string_view second);

    /// Reads an array. Returns an empty one if the field is missing or not an array.
    const nlohmann::json& list(const std::string& field);

    /// Returns the value without a type check; null if the field is missing.
    const nlohmann::json& raw_value(const std::string& field);

    /// Returns whether the object has the field. Does not count as reading it.
    [[nodiscard]] bool has(const std::string& field) const;

    /// Adds a failure for each field of the object that was not read. Call it last.
    void reject_unknown_fields();

    /// Adds a failure for the field.
    void fail(const std::string& field, const std::string& value, std::string_view expected);

    [[nodiscard]] const std::string& location() const { return location_; }

private:
    const nlohmann::json* find(const std::string& field);

    std::string location_;
    const nlohmann::json& object_;
    std::vector<failure>& errors_;
    std::set<std::string> read_fields_;
};

/// Returns whether the text is valid as the name of a row, account, budget, server or request kind.
bool is_name(std::string_view text);

/// Formats a value for messages, truncated if it is long.
std::string format_value(const nlohmann::json& value);

} // namespace jujubevalve
