#include "load/load_request.h"

#include "core/digest.h"

#include <array>
#include <fmt/format.h>
#include <nlohmann/json.hpp>
#include <random>

namespace jujubevalve
{

namespace
{
constexpr std::array<const char*, 12> words{"grit",   "depot", "refill", "parish", "route", "yard",
                                            "carver", "stone", "order",  "bin",    "truck", "lane"};

const load_account& pick_account(const std::vector<load_account>& accounts, std::mt19937_64& random)
{
    double total = 0;
    for (const auto& account : accounts) {
        total += account.weight;
    }
    auto remaining = std::uniform_real_distribution<double>{0, total}(random);
    for (const auto& account : accounts) {
        remaining -= account.weight;
        if (remaining < 0) {
            return account;
        }
    }
    return accounts.back();
}

load_request::kind pick_kind(const load_account& account, const load_mix& mix,
                             std::mt19937_64& random)
{
    std::uniform_real_distribution<double> share{0, 1};
    const bool call = share(random) < mix.call_share;
    const bool streamed = share(random) < mix.stream_share;
    if (account.chat_kind.empty() || (call && !account.call_kind.empty())) {
        return load_request::kind::call;
    }
    return streamed ? load_request::kind::streamed_chat : load_request::kind::chat;
}

std::string make_prompt(const load_mix& mix, const std::string& name, std::mt19937_64& random)
{
    std::string prompt = name;
    for (int i = 1; i < mix.prompt_words; ++i) {
        prompt += " ";
        prompt += words[random() % words.size()];
    }
    return mix.answer_tokens > 0 ? prompt + fmt::format(" tokens={}", mix.answer_tokens) : prompt;
}
} // namespace

std::string load_request::path() const
{
    return what == kind::call ? "/v1/calls/" + account.call_kind : "/v1/chat/completions";
}

std::string load_request::body() const
{
    if (what == kind::call) {
        return nlohmann::json{{"order", order}}.dump();
    }
    return nlohmann::json{{"model", account.chat_kind},
                          {"messages", {{{"role", "user"}, {"content", prompt}}}},
                          {"max_tokens", max_tokens},
                          {"stream", what == kind::streamed_chat}}
        .dump();
}

load_request make_request(const std::vector<load_account>& accounts, const load_mix& mix,
                          std::uint64_t seed, std::int64_t number)
{
    std::mt19937_64 random{hash64(fmt::format("{}", number), seed)};
    load_request request;
    request.number = number;
    request.account = pick_account(accounts, random);
    request.what = pick_kind(request.account, mix, random);
    const auto name = fmt::format("{}-{}", seed, number);
    if (request.what == load_request::kind::call) {
        request.order = name;
    } else {
        request.prompt = make_prompt(mix, name, random);
        request.max_tokens = mix.max_tokens;
    }
    return request;
}

} // namespace jujubevalve
