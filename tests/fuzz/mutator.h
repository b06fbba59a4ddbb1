#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

namespace jujubevalve::fuzz
{

/// Makes malformed variants of valid messages. The same seed gives the same variants.
class mutator
{
public:
    explicit mutator(std::uint64_t seed);

    /// Changes one to four places of a text: bytes, spans, numbers.
    std::string change_text(std::string text);

    /// Replaces, removes or adds one to three values at any depth.
    nlohmann::json change_values(nlohmann::json value);

    /// Returns a number from 0 to `max`.
    std::size_t draw(std::size_t max);

private:
    nlohmann::json odd_value();
    void change_one_value(nlohmann::json& value);

    std::mt19937_64 random_;
};

} // namespace jujubevalve::fuzz
