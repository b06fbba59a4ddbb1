#include "ctl/table_commands.h"

#include "config/config.h"
#include "core/digest.h"
#include "ctl/row_differences.h"

#include <fmt/format.h>

namespace jujubevalve
{

using nlohmann::json;

namespace
{
json stale_json(const std::vector<changed_row>& rows)
{
    auto list = json::array();
    for (const auto& row : rows) {
        list.push_back({{"table", row.table},
                        {"name", row.name},
                        {"version", row.version},
                        {"operator", row.operator_name}});
    }
    return list;
}

command_result stale(const ctl_context& context, const failure& error,
                     const std::vector<changed_row>& changed)
{
    auto result = failed(context.json, {error}, {{"changed", stale_json(changed)}});
    if (context.json) {
        return result;
    }
    for (const auto& row : changed) {
        result.errors += fmt::format("  {} row \"{}\" was changed in version {} by \"{}\"\n",
                                     row.table, row.name, row.version, row.operator_name);
    }
    result.errors += "Fetch the tables again, repeat the edit and apply it with the new version.\n";
    return result;
}

// The edit was made from another version than the one in force.
command_result other_version(const ctl_context& context, std::int64_t base, std::int64_t in_force,
                             const std::string& apply_id)
{
    const failure error{
        result_code::stale_version,
        fmt::format("version {} is in force, the edit was made from version {}", in_force, base)};
    if (base > in_force) {
        return failed(context.json, {error});
    }
    const auto log = load_log(context.platform, base);
    if (!log) {
        return failed(context.json, {log.error()});
    }
    if (!apply_id.empty() && !log->empty() && log->front().apply_id == apply_id) {
        const auto version = log->front().version;
        return succeeded(context.json, {{"applied", true}, {"version", version}},
                         fmt::format("The edit is already applied as version {}.\n", version));
    }
    return stale(context, error, changed_rows(*log));
}

command_result unknown_outcome(const ctl_context& context, const failure& error, std::int64_t base,
                               const std::string& apply_id)
{
    auto result = failed(context.json, {error}, {{"apply_id", apply_id}, {"base", base}});
    if (!context.json) {
        result.errors +=
            fmt::format("The edit may have taken effect or may still do so. Repeat the "
                        "command with --base={} --apply_id={} to find out.\n",
                        base, apply_id);
    }
    return result;
}

command_result applied(const ctl_context& context, const apply_planner& planner,
                       const std::string& apply_id)
{
    const auto& changes = planner.changes();
    return succeeded(
        context.json,
        {{"applied", true},
         {"version", planner.version()},
         {"apply_id", apply_id},
         {"changes", changes_json(changes)}},
        fmt::format("{}Applied as version {}.\n", changes_text(changes), planner.version()));
}

command_result run_apply(const ctl_context& context, const config_snapshot& base,
                         const config_snapshot& edited, const apply_options& options)
{
    const auto id = options.apply_id.empty() ? random_hex(8) : options.apply_id;
    const apply_planner planner{{base, edited.routes(), edited.pools(), id, options.operator_name,
                                 context.now, options.term}};
    if (planner.changes().empty()) {
        return succeeded(
            context.json, {{"applied", false}, {"version", base.version()}},
            fmt::format("Nothing to change; version {} stays in force.\n", base.version()));
    }
    const auto report = apply_edit(context.platform, planner, context.attempts, context.wait);
    if (report.outcome == apply_outcome::applied) {
        return applied(context, planner, id);
    }
    if (report.outcome == apply_outcome::unknown) {
        return unknown_outcome(context, report.error, base.version(), id);
    }
    return report.error.code == result_code::stale_version
               ? stale(context, report.error, report.changed)
               : failed(context.json, {report.error});
}

config_snapshot with_file(const config_snapshot& base, const table_file& file)
{
    return {base.term(), base.version(), file.routes.value_or(base.routes()),
            file.pools.value_or(base.pools())};
}
} // namespace

command_result fetch_tables(const ctl_context& context, const std::string& table)
{
    const auto snapshot = load_snapshot(context.platform);
    if (!snapshot) {
        return failed(context.json, {snapshot.error()});
    }
    table_file file{snapshot->version(), {}, {}};
    if (table != "pools") {
        file.routes = snapshot->routes();
    }
    if (table != "routes") {
        file.pools = snapshot->pools();
    }
    return {exit_code::ok, to_text(file), {}};
}

command_result validate_tables(const ctl_context& context, const std::string& text)
{
    std::vector<failure> errors;
    const auto file = parse_table_file(text, errors);
    if (!file) {
        return failed(context.json, errors);
    }
    config_snapshot base;
    if (!file->routes || !file->pools) {
        const auto loaded = load_snapshot(context.platform);
        if (!loaded) {
            return failed(context.json, {loaded.error()});
        }
        base = *loaded;
    }
    const auto edited = with_file(base, *file);
    errors = validate(edited.routes(), edited.pools());
    if (!errors.empty()) {
        return failed(context.json, errors);
    }
    return succeeded(
        context.json,
        {{"valid", true}, {"routes", edited.routes().size()}, {"pools", edited.pools().size()}},
        fmt::format("The tables are valid: {} routes, {} pools.\n", edited.routes().size(),
                    edited.pools().size()));
}

command_result diff_tables(const ctl_context& context, const std::string& text)
{
    std::vector<failure> errors;
    const auto file = parse_table_file(text, errors);
    if (!file) {
        return failed(context.json, errors);
    }
    const auto base = load_snapshot(context.platform);
    if (!base) {
        return failed(context.json, {base.error()});
    }
    const auto changes = diff(*base, with_file(*base, *file));
    auto shown = changes.empty() ? std::string{"No differences.\n"} : changes_text(changes);
    if (file->version && *file->version != base->version()) {
        shown += fmt::format("The file was fetched at version {}; version {} is in force.\n",
                             *file->version, base->version());
    }
    return succeeded(context.json,
                     {{"version", base->version()}, {"changes", changes_json(changes)}},
                     std::move(shown));
}

command_result apply_tables(const ctl_context& context, const std::string& text,
                            const apply_options& options)
{
    std::vector<failure> errors;
    const auto file = parse_table_file(text, errors);
    if (!file) {
        return failed(context.json, errors);
    }
    if (options.base && file->version && *options.base != *file->version) {
        return wrong_usage(fmt::format("--base={}: the file was fetched at version {}",
                                       *options.base, *file->version));
    }
    if (!options.base && !file->version) {
        return wrong_usage("--base is missing and the file has no field \"version\"");
    }
    const auto base_version = options.base ? *options.base : *file->version;
    const auto base = load_snapshot(context.platform);
    if (!base) {
        return failed(context.json, {base.error()});
    }
    if (base->version() != base_version) {
        return other_version(context, base_version, base->version(), options.apply_id);
    }
    const auto edited = with_file(*base, *file);
    errors = validate(edited.routes(), edited.pools());
    return errors.empty() ? run_apply(context, *base, edited, options)
                          : failed(context.json, errors);
}

} // namespace jujubevalve
