#include "load/load_account.h"

#include <nlohmann/json.hpp>

namespace jujubevalve
{

namespace
{
load_account read_account(const nlohmann::json& entry)
{
    load_account account;
    account.account = entry.value("account", "");
    account.bearer_key = entry.value("bearer_key", "");
    account.chat_kind = entry.value("chat_kind", "");
    account.call_kind = entry.value("call_kind", "");
    account.weight = entry.value("weight", 1.0);
    return account;
}

bool is_valid(const load_account& account)
{
    return !account.account.empty() && !account.bearer_key.empty() && account.weight > 0 &&
           !(account.chat_kind.empty() && account.call_kind.empty());
}
} // namespace

result<std::vector<load_account>> parse_accounts(const std::string& text)
{
    const auto list = nlohmann::json::parse(text, nullptr, false);
    if (!list.is_array() || list.empty()) {
        return failure{result_code::malformed_json, "the accounts are not a JSON list"};
    }
    std::vector<load_account> accounts;
    for (const auto& entry : list) {
        try {
            accounts.push_back(read_account(entry));
        } catch (const nlohmann::json::exception&) {
            accounts.emplace_back();
        }
        if (!is_valid(accounts.back())) {
            return failure{result_code::invalid_field,
                           "account " + std::to_string(accounts.size()) +
                               " needs account, bearer_key, chat_kind or call_kind, weight > 0"};
        }
    }
    return accounts;
}

} // namespace jujubevalve
