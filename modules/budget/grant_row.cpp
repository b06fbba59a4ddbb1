#include "budget/grant_row.h"

#include "budget/json_fields.h"

#include <algorithm>
#include <numeric>
#include <stdexcept>

namespace jujubevalve
{

namespace
{
incarnation_totals read_totals(const nlohmann::json& object, const char* name)
{
    const auto found = object.find(name);
    if (found == object.end() || !found->is_object()) {
        throw std::invalid_argument{std::string{"field "} + name + " is not an object"};
    }
    incarnation_totals totals;
    for (const auto& [incarnation, unused] : found->items()) {
        totals[incarnation] = json_fields::tokens(*found, incarnation.c_str());
    }
    return totals;
}

nlohmann::json totals_to_json(const incarnation_totals& totals)
{
    auto object = nlohmann::json::object();
    for (const auto& [incarnation, total] : totals) {
        object[incarnation] = total;
    }
    return object;
}
} // namespace

token_count sum_of(const incarnation_totals& totals)
{
    return std::accumulate(totals.begin(), totals.end(), token_count{0},
                           [](token_count sum, const auto& entry) { return sum + entry.second; });
}

incarnation_totals merge_max(incarnation_totals a, const incarnation_totals& b)
{
    for (const auto& [incarnation, total] : b) {
        auto& merged = a[incarnation];
        merged = std::max(merged, total);
    }
    return a;
}

std::string to_text(const grant_row& row)
{
    nlohmann::json object{{"granted", row.granted},
                          {"seq", row.seq},
                          {"sent", totals_to_json(row.sent)},
                          {"received", totals_to_json(row.received)},
                          {"closed", row.closed}};
    if (row.charged_in_full) {
        object["charged_in_full"] = true;
    }
    return object.dump();
}

result<grant_row> parse_grant_row(std::string_view text)
{
    if (text.empty()) {
        return grant_row{};
    }
    return json_fields::read<grant_row>(text, "grant row", [](const nlohmann::json& object) {
        grant_row row;
        row.granted =
            json_fields::whole_number(object, "granted", -max_token_count, max_token_count);
        row.seq = json_fields::whole_number(object, "seq", 0, INT64_MAX);
        row.sent = read_totals(object, "sent");
        row.received = read_totals(object, "received");
        row.closed = json_fields::truth(object, "closed");
        row.charged_in_full =
            object.contains("charged_in_full") && json_fields::truth(object, "charged_in_full");
        return row;
    });
}

} // namespace jujubevalve
