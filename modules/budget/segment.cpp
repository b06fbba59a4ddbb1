#include "budget/segment.h"

#include "budget/json_fields.h"

namespace jujubevalve
{

namespace
{
template <class Items, class Write>
nlohmann::json write_array(const Items& items, const Write& write)
{
    auto array = nlohmann::json::array();
    for (const auto& item : items) {
        array.push_back(write(item));
    }
    return array;
}

template <class Item, class Read>
std::vector<Item> read_array(const nlohmann::json& object, const char* name, const Read& read)
{
    std::vector<Item> items;
    for (const auto& element : json_fields::array(object, name)) {
        items.push_back(read(element));
    }
    return items;
}
} // namespace

std::string to_text(const segment& segment)
{
    using nlohmann::json;
    return json{
        {"incarnation", segment.incarnation},
        {"seq", segment.seq},
        {"budgets", write_array(segment.budgets,
                                [](const budget_spend& item) {
                                    return json{{"name", item.name}, {"spent", item.spent}};
                                })},
        {"bills", write_array(segment.bills,
                              [](const bill_entry& item) {
                                  return json{{"account", item.account},
                                              {"key", item.key},
                                              {"budget", item.budget},
                                              {"tokens", item.tokens}};
                              })},
        {"sequences", write_array(segment.sequences,
                                  [](const sequence_mark& item) {
                                      return json{{"server", item.server}, {"next", item.next}};
                                  })},
        {"open", write_array(segment.open,
                             [](const open_request& item) {
                                 return json{{"server", item.server},
                                             {"n", item.n},
                                             {"budget", item.budget},
                                             {"reserved", item.reserved}};
                             })}}
        .dump();
}

result<segment> parse_segment(std::string_view text)
{
    using nlohmann::json;
    namespace fields = json_fields;
    return fields::read<segment>(text, "segment", [](const json& object) {
        segment read;
        read.incarnation = fields::text(object, "incarnation");
        read.seq = fields::whole_number(object, "seq", 1, INT64_MAX);
        read.budgets = read_array<budget_spend>(object, "budgets", [](const json& item) {
            return budget_spend{fields::text(item, "name"), fields::tokens(item, "spent")};
        });
        read.bills = read_array<bill_entry>(object, "bills", [](const json& item) {
            return bill_entry{fields::text(item, "account"), fields::text(item, "key"),
                              fields::text(item, "budget"), fields::tokens(item, "tokens")};
        });
        read.sequences = read_array<sequence_mark>(object, "sequences", [](const json& item) {
            return sequence_mark{fields::text(item, "server"),
                                 fields::whole_number(item, "next", 0, INT64_MAX)};
        });
        read.open = read_array<open_request>(object, "open", [](const json& item) {
            return open_request{fields::text(item, "server"),
                                fields::whole_number(item, "n", 0, INT64_MAX),
                                fields::text(item, "budget"), fields::tokens(item, "reserved")};
        });
        return read;
    });
}

} // namespace jujubevalve
