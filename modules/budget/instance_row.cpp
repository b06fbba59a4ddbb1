#include "budget/instance_row.h"

#include "budget/json_fields.h"

#include <array>
#include <stdexcept>
#include <utility>

namespace jujubevalve
{

namespace
{
constexpr std::array<std::pair<incarnation_state, std::string_view>, 4> state_names{
    {{incarnation_state::active, "active"},
     {incarnation_state::drained, "drained"},
     {incarnation_state::recovering, "recovering"},
     {incarnation_state::closed, "closed"}}};

std::string_view name_of(incarnation_state state)
{
    for (const auto& [value, name] : state_names) {
        if (value == state) {
            return name;
        }
    }
    return "active";
}

incarnation_state state_of(std::string_view text)
{
    for (const auto& [value, name] : state_names) {
        if (name == text) {
            return value;
        }
    }
    throw std::invalid_argument{"field state is not a known state"};
}
} // namespace

std::string to_text(const instance_row& row)
{
    nlohmann::json object{{"instance", row.instance},
                          {"incarnation", row.incarnation},
                          {"http_address", row.http_address},
                          {"peer_address", row.peer_address},
                          {"failure_domain", row.failure_domain},
                          {"region", row.region},
                          {"term", row.term},
                          {"state", name_of(row.state)},
                          {"final_segment", nullptr}};
    if (row.final_segment) {
        object["final_segment"] = *row.final_segment;
    }
    if (!row.peer_bound) {
        object["peer_bound"] = false;
    }
    return object.dump();
}

result<instance_row> parse_instance_row(std::string_view text)
{
    return json_fields::read<instance_row>(text, "instance row", [](const nlohmann::json& object) {
        instance_row row;
        row.instance = json_fields::text(object, "instance");
        row.incarnation = json_fields::text(object, "incarnation");
        row.http_address = json_fields::text(object, "http_address");
        row.peer_address = json_fields::text(object, "peer_address");
        row.failure_domain = json_fields::text(object, "failure_domain");
        row.region = json_fields::text(object, "region");
        row.term = json_fields::whole_number(object, "term", 0, INT64_MAX);
        row.state = state_of(json_fields::text(object, "state"));
        row.peer_bound = object.value("peer_bound", true);
        const auto last = object.find("final_segment");
        if (last != object.end() && !last->is_null()) {
            row.final_segment = json_fields::whole_number(object, "final_segment", 0, INT64_MAX);
        }
        return row;
    });
}

} // namespace jujubevalve
