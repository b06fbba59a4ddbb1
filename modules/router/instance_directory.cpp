#include "router/instance_directory.h"

#include "config/config_loader.h"

#include <utility>

namespace jujubevalve
{

std::string final_records_name(std::string_view incarnation)
{
    return "final/" + std::string{incarnation};
}

instance_directory::instance_directory(const membership_service& members, http_platform& platform)
    : members_{members}
    , platform_{platform}
{
}

incarnation_info instance_directory::find(const std::string& incarnation) const
{
    const auto member = members_.find(incarnation);
    const std::lock_guard lock{mutex_};
    const auto row = rows_.find(incarnation);
    if (row != rows_.end() && row->second.state == incarnation_state::drained) {
        const auto records = final_records_.find(incarnation);
        return {
            home_state::drained, {}, records == final_records_.end() ? nullptr : records->second};
    }
    const bool closed = row != rows_.end() && row->second.state != incarnation_state::active;
    if (closed || (!member && row == rows_.end())) {
        return {home_state::gone, {}, nullptr};
    }
    return {home_state::live, member ? member->entry.peer_address : row->second.peer_address,
            nullptr};
}

bool instance_directory::poll()
{
    const auto scanned = scan_all(platform_, "instance/");
    if (!scanned) {
        return false;
    }
    std::vector<instance_row> rows;
    for (const auto& item : *scanned) {
        if (auto row = parse_instance_row(item.value)) {
            rows.push_back(std::move(row).value());
        }
    }
    load_final_records(rows);
    const std::lock_guard lock{mutex_};
    rows_.clear();
    for (auto& row : rows) {
        rows_.emplace(row.incarnation, row);
    }
    return true;
}

void instance_directory::load_final_records(const std::vector<instance_row>& rows)
{
    for (const auto& row : rows) {
        {
            const std::lock_guard lock{mutex_};
            if (row.state != incarnation_state::drained ||
                final_records_.contains(row.incarnation)) {
                continue;
            }
        }
        const auto text = platform_.get(final_records_name(row.incarnation));
        if (!text) {
            continue;
        }
        if (const auto records = final_records::from_json(*text)) {
            const std::lock_guard lock{mutex_};
            final_records_.emplace(row.incarnation,
                                   std::make_shared<const final_records>(*records));
        }
    }
}

std::vector<instance_row> instance_directory::rows() const
{
    const std::lock_guard lock{mutex_};
    std::vector<instance_row> all;
    for (const auto& [name, row] : rows_) {
        all.push_back(row);
    }
    return all;
}

} // namespace jujubevalve
