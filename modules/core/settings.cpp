#include "core/settings.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <charconv>
#include <cstdlib>
#include <gflags/gflags.h>
#include <iostream>

namespace jujubevalve
{

namespace
{
std::string environment_name(std::string_view flag)
{
    std::string name = "JUJUBEVALVE_";
    for (const char c : flag) {
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(c)));
    }
    return name;
}

bool is_own_flag(const gflags::CommandLineFlagInfo& flag)
{
    return flag.filename.find("gflags") == std::string::npos;
}

void read_environment(const std::vector<gflags::CommandLineFlagInfo>& flags)
{
    for (const auto& flag : flags) {
        const auto name = environment_name(flag.name);
        const char* const value = std::getenv(name.c_str());
        if (value == nullptr || !is_own_flag(flag)) {
            continue;
        }
        if (gflags::SetCommandLineOption(flag.name.c_str(), value).empty()) {
            std::cerr << "error: " << name << "=" << value << " is not a valid " << flag.type
                      << " for --" << flag.name << "\n";
            std::exit(2);
        }
    }
}

void print_help(std::string_view usage, const std::vector<gflags::CommandLineFlagInfo>& flags)
{
    std::cout << usage << "\n\nFlags (each also as environment variable JUJUBEVALVE_<FLAG>):\n";
    for (const auto& flag : flags) {
        if (is_own_flag(flag)) {
            std::cout << "  --" << flag.name << "=" << flag.type << " (default \""
                      << flag.default_value << "\")\n      " << flag.description << "\n";
        }
    }
}

const gflags::CommandLineFlagInfo* find_flag(std::string_view name,
                                             const std::vector<gflags::CommandLineFlagInfo>& flags)
{
    const auto found = std::find_if(flags.begin(), flags.end(),
                                    [&](const auto& flag) { return flag.name == name; });
    return found == flags.end() ? nullptr : &*found;
}

[[noreturn]] void reject_argument(std::string_view argument, std::string_view reason)
{
    std::cerr << "error: " << argument << ": " << reason << "; --help lists the flags\n";
    std::exit(2);
}

void set_flag(std::string_view argument, const gflags::CommandLineFlagInfo& flag,
              const std::string& value)
{
    if (gflags::SetCommandLineOption(flag.name.c_str(), value.c_str()).empty()) {
        reject_argument(argument, "expected a value of type " + flag.type);
    }
}

// Applies the flag at position i of the arguments. Returns how many arguments it takes up: 1 or 2.
int apply_flag(int i, int argc, char** argv, const std::vector<gflags::CommandLineFlagInfo>& flags)
{
    const std::string_view argument{argv[i]};
    const auto body = argument.substr(2);
    const auto equals = body.find('=');
    const auto name = body.substr(0, equals);
    const auto* const flag = find_flag(name, flags);
    if (flag != nullptr && equals != std::string_view::npos) {
        set_flag(argument, *flag, std::string{body.substr(equals + 1)});
        return 1;
    }
    if (flag != nullptr && flag->type == "bool") {
        set_flag(argument, *flag, "true");
        return 1;
    }
    if (flag != nullptr && i + 1 < argc) {
        set_flag(argument, *flag, argv[i + 1]);
        return 2;
    }
    const auto* const negated = name.starts_with("no") ? find_flag(name.substr(2), flags) : nullptr;
    if (negated != nullptr && negated->type == "bool") {
        set_flag(argument, *negated, "false");
        return 1;
    }
    reject_argument(argument, flag == nullptr ? "unknown flag" : "the value is missing");
}

bool is_help_requested(int argc, char** argv)
{
    return std::any_of(argv + 1, argv + argc, [](std::string_view argument) {
        return argument == "--help" || argument == "-h";
    });
}
} // namespace

void read_settings(std::string_view usage, int& argc, char** argv)
{
    std::vector<gflags::CommandLineFlagInfo> flags;
    gflags::GetAllFlags(&flags);
    if (is_help_requested(argc, argv)) {
        print_help(usage, flags);
        std::exit(0);
    }
    read_environment(flags);
    // Not parsed by gflags itself: it exits with 1 on an error, but the documented exit code is 2.
    int remaining = 1;
    for (int i = 1; i < argc;) {
        const std::string_view argument{argv[i]};
        if (argument.size() > 2 && argument.starts_with("--")) {
            i += apply_flag(i, argc, argv, flags);
        } else {
            argv[remaining++] = argv[i++];
        }
    }
    argc = remaining;
}

void settings_check::range(std::string_view flag, std::int64_t value, std::int64_t low,
                           std::int64_t high)
{
    if (value < low || value > high) {
        fail(flag, std::to_string(value),
             "a number from " + std::to_string(low) + " to " + std::to_string(high));
    }
}

void settings_check::required(std::string_view flag, std::string_view value)
{
    if (value.empty()) {
        fail(flag, value, "a value");
    }
}

void settings_check::address(std::string_view flag, std::string_view value)
{
    if (!is_address(value)) {
        fail(flag, value, "ip:port with a numeric IPv4 address and a port from 0 to 65535");
    }
}

void settings_check::one_of(std::string_view flag, std::string_view value,
                            const std::vector<std::string_view>& allowed)
{
    if (std::find(allowed.begin(), allowed.end(), value) != allowed.end()) {
        return;
    }
    std::string expected = "one of";
    for (const auto& name : allowed) {
        expected += " " + std::string{name};
    }
    fail(flag, value, expected);
}

void settings_check::fail(std::string_view flag, std::string_view value, std::string_view expected)
{
    errors_.push_back("--" + std::string{flag} + "=" + std::string{value} + ": expected " +
                      std::string{expected});
}

void settings_check::exit_on_error() const
{
    if (errors_.empty()) {
        return;
    }
    for (const auto& error : errors_) {
        std::cerr << "error: " << error << "\n";
    }
    std::exit(2);
}

std::vector<std::string> split_list(std::string_view text, char separator)
{
    std::vector<std::string> elements;
    while (!text.empty()) {
        const auto end = std::min(text.find(separator), text.size());
        elements.emplace_back(text.substr(0, end));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return elements;
}

bool is_address(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return false;
    }
    const std::string host{text.substr(0, colon)};
    const auto port_text = text.substr(colon + 1);
    in_addr parsed{};
    int port = -1;
    const auto* const end = port_text.data() + port_text.size();
    const auto [parsed_end, error] = std::from_chars(port_text.data(), end, port);
    return inet_pton(AF_INET, host.c_str(), &parsed) == 1 && error == std::errc{} &&
           parsed_end == end && port >= 0 && port <= 65535;
}

} // namespace jujubevalve
