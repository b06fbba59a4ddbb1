#include "standins/engine_answer.h"

#include "core/digest.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <sstream>

namespace jujubevalve
{

namespace
{
constexpr token_count min_answer_tokens = 8;
constexpr token_count answer_length_count = 64;
constexpr token_count max_answer_tokens = 100'000;

// Returns the length requested by a word `tokens=<n>`, or 0 if there is none.
token_count requested_length(std::string_view prompt)
{
    static constexpr std::string_view name = "tokens=";
    const auto at = prompt.find(name);
    if (at == std::string_view::npos || (at > 0 && prompt[at - 1] != ' ')) {
        return 0;
    }
    token_count length = 0;
    std::from_chars(prompt.data() + at + name.size(), prompt.data() + prompt.size(), length);
    return std::clamp<token_count>(length, 0, max_answer_tokens);
}

token_count full_length(std::string_view prompt)
{
    const auto asked = requested_length(prompt);
    return asked > 0 ? asked
                     : min_answer_tokens +
                           static_cast<token_count>(
                               hash64(prompt) % static_cast<std::uint64_t>(answer_length_count));
}
} // namespace

engine_answer::engine_answer(std::string_view prompt, token_count max_tokens)
    : digest_{sha256_hex(prompt)}
    , size_{std::min(full_length(prompt), std::max<token_count>(0, max_tokens))}
    , cut_{size_ < full_length(prompt)}
{
}

std::string engine_answer::token(token_count index) const
{
    return "w" + sha256_hex(digest_ + ":" + std::to_string(index)).substr(0, 7) + " ";
}

std::string engine_answer::text() const
{
    std::string all;
    for (token_count i = 0; i < size_; ++i) {
        all += token(i);
    }
    return all;
}

std::string prompt_of(std::string_view chat_body)
{
    const auto body = nlohmann::json::parse(chat_body, nullptr, false);
    if (!body.is_object() || !body.contains("messages") || !body["messages"].is_array()) {
        return {};
    }
    std::string prompt;
    for (const auto& message : body["messages"]) {
        if (!message.is_object() || !message.contains("content") ||
            !message["content"].is_string()) {
            continue;
        }
        prompt += prompt.empty() ? "" : "\n";
        prompt += message["content"].get_ref<const std::string&>();
    }
    return prompt;
}

token_count count_prompt_tokens(std::string_view prompt)
{
    std::istringstream words{std::string{prompt}};
    token_count count = 0;
    for (std::string word; words >> word;) {
        ++count;
    }
    return count;
}

} // namespace jujubevalve
