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

/// Reads the fields of one JSON object and collects a failure for each fault, so that an operator
/// sees all of them at once. A faulty field reads as an empty value.
class row_reader
{
public:
    /// `place` names table and row in messages.
    row_reader(std::string place, const nlohmann::json& object, std::vector<failure>& errors);

    /// A name: 1 to 64 letters, digits, dots, underscores or hyphens, the first a letter or digit.
    std::string name(const std::string& field);

    /// A name or an empty text.
    std::string optional_name(const std::string& field);

    /// A text of any form.
    std::string text(const std::string& field);

    /// A SHA-256 digest. Messages never show its value, which could be a key pasted by mistake.
    std::string digest(const std::string& field);

    /// `ip:port` with a port from 1 on.
    std::string address(const std::string& field);

    std::int64_t number(const std::string& field, std::int64_t low, std::int64_t high);
    bool flag(const std::string& field);

    /// A text that is one of two values; false for the first, true for the second.
    bool choice(const std::string& field, std::string_view first, std::string_view second);

    /// A list; an empty one if it is absent or no list.
    const nlohmann::json& list(const std::string& field);

    /// An object, null or any other value; null if it is absent.
    const nlohmann::json& any(const std::string& field);

    /// Whether the object has the field, without reading it.
    [[nodiscard]] bool has(const std::string& field) const;

    /// Adds a failure for each field that was not asked for.
    void finish();

    void fail(const std::string& field, const std::string& value, std::string_view expected);

    [[nodiscard]] const std::string& place() const { return place_; }

private:
    const nlohmann::json* find(const std::string& field);

    std::string place_;
    const nlohmann::json& object_;
    std::vector<failure>& errors_;
    std::set<std::string> known_;
};

/// Whether the text may be the name of a row, an account, a budget, a server or a request kind.
bool is_name(std::string_view text);

/// The value as it appears in messages, shortened.
std::string shown(const nlohmann::json& value);

} // namespace jujubevalve
