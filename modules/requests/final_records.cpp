#include "requests/final_records.h"

#include "core/digest.h"

#include <fmt/core.h>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

namespace jujubevalve
{

final_records::final_records(std::string incarnation, std::int64_t first_epoch,
                             std::set<std::string, std::less<>> sent)
    : incarnation_{std::move(incarnation)}
    , first_epoch_{first_epoch}
    , sent_{std::move(sent)}
{
}

result<final_records> final_records::from_json(std::string_view text)
{
    try {
        const auto document = nlohmann::json::parse(text);
        const auto sent = document.at("sent").get<std::vector<std::string>>();
        return final_records{document.at("incarnation").get<std::string>(),
                             document.at("first_epoch").get<std::int64_t>(),
                             {sent.begin(), sent.end()}};
    } catch (const nlohmann::json::exception& error) {
        return failure{result_code::malformed_row,
                       fmt::format("final records are malformed: {}", error.what())};
    }
}

std::string final_records::to_json() const
{
    return nlohmann::json{
        {"incarnation", incarnation_}, {"first_epoch", first_epoch_}, {"sent", sent_}}
        .dump();
}

bool final_records::proves_not_run(std::string_view account, std::string_view key,
                                   std::int64_t epoch) const
{
    return epoch >= first_epoch_ && !sent_.contains(digest_of(account, key));
}

std::string final_records::digest_of(std::string_view account, std::string_view key)
{
    return sha256_hex(fmt::format("{}:{}{}", account.size(), account, key)).substr(0, 16);
}

} // namespace jujubevalve
