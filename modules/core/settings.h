#pragma once

#include "core/result.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Reads the flags from the environment and the command line. A flag `name` takes its default from
/// `JUJUBEVALVE_NAME` (upper case); the command line overrides it. `--help` prints the usage with
/// the flags of this program and exits 0; an unknown flag or a malformed value exits 2. Removes
/// the flags from `argc` and `argv` and keeps the operands.
void read_settings(std::string_view usage, int& argc, char** argv);

/// Validates settings and collects the errors, so that a user sees them all at once.
class settings_check
{
public:
    /// Requires an integer flag to lie in [low, high].
    void range(std::string_view flag, std::int64_t value, std::int64_t low, std::int64_t high);

    /// Requires a string flag to be non-empty.
    void required(std::string_view flag, std::string_view value);

    /// Requires a string flag to be `ip:port` with a numeric IPv4 address.
    void address(std::string_view flag, std::string_view value);

    /// Requires a string flag to be one of the values in `allowed`.
    void one_of(std::string_view flag, std::string_view value,
                const std::vector<std::string_view>& allowed);

    /// Adds an error; `expected` describes the valid values.
    void fail(std::string_view flag, std::string_view value, std::string_view expected);

    [[nodiscard]] const std::vector<std::string>& errors() const { return errors_; }

    /// If there are errors, prints them to standard error and exits 2.
    void exit_on_error() const;

private:
    std::vector<std::string> errors_;
};

/// Splits `a,b,c` into its elements; an empty string has none.
std::vector<std::string> split_list(std::string_view text, char separator = ',');

/// Returns whether the text is a numeric IPv4 address and a port from 0 to 65535, as `ip:port`.
bool is_address(std::string_view text);

} // namespace jujubevalve
