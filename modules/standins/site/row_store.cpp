#include "standins/site/row_store.h"

#include "core/clock.h"
#include "platform/store_codec.h"

#include <algorithm>
#include <chrono>

namespace jujubevalve::site
{

using nlohmann::json;

row_store::row_key row_store::key_of(const json& object)
{
    return {object.at("table").get<std::string>(), object.value("part", std::string{}),
            object.at("key").get<std::string>()};
}

json row_store::to_json(const row_key& key, const row& item)
{
    json object{
        {"table", key.table}, {"part", key.part}, {"key", key.key}, {"row-version", item.version}};
    if (item.deleted) {
        object["deleted"] = true;
    } else {
        object["value"] = encode_base64(item.value);
    }
    return object;
}

json row_store::envelope() const
{
    return {{"row-version", version_}, {"now-ms", steady_clock_ms{}.now().count()}};
}

row_store::answer row_store::commit(const json& change)
{
    const std::lock_guard lock{mutex_};
    auto body = envelope();
    body["rows"] = json::array();
    bool holds = true;
    for (const auto& condition : change.value("expected", json::array())) {
        const auto found = rows_.find(key_of(condition));
        const bool exists = found != rows_.end() && !found->second.deleted;
        holds = holds && condition.at("row-version").get<std::int64_t>() ==
                             (exists ? found->second.version : 0);
        if (exists) {
            body["rows"].push_back(to_json(found->first, found->second));
        }
    }
    if (!holds) {
        return {412, std::move(body)};
    }
    ++version_;
    for (const auto& write : change.value("write", json::array())) {
        rows_[key_of(write)] = {decode_base64(write.at("value").get<std::string>()), version_,
                                false};
    }
    for (const auto& removed : change.value("remove", json::array())) {
        rows_[key_of(removed)] = {{}, version_, true};
    }
    changed_.notify_all();
    return {200, envelope()};
}

row_store::answer row_store::list(const std::string& table, const std::string& part,
                                  const std::string& from, const std::string& to) const
{
    const std::lock_guard lock{mutex_};
    auto body = envelope();
    body["rows"] = json::array();
    body["has-more"] = false;
    for (const auto& [key, item] : rows_) {
        if (key.table == table && key.part == part && !item.deleted && key.key >= from &&
            (to.empty() || key.key < to)) {
            body["rows"].push_back(to_json(key, item));
        }
    }
    return {200, std::move(body)};
}

row_store::answer row_store::follow(const std::string& table, std::int64_t after,
                                    std::int64_t wait_ms)
{
    std::unique_lock lock{mutex_};
    const auto changes = [&] {
        std::vector<std::pair<std::int64_t, json>> found;
        for (const auto& [key, item] : rows_) {
            if (key.table == table && item.version > after) {
                found.emplace_back(item.version, to_json(key, item));
            }
        }
        std::sort(found.begin(), found.end(),
                  [](const auto& a, const auto& b) { return a.first < b.first; });
        return found;
    };
    const auto era = era_;
    const auto is_gone = [&] { return after < oldest_ || after > version_ || era != era_; };
    auto found = changes();
    changed_.wait_for(lock, std::chrono::milliseconds{wait_ms}, [&] {
        found = changes();
        return stopped_ || !found.empty() || is_gone();
    });
    if (is_gone()) {
        return {410, envelope()};
    }
    auto body = envelope();
    body["rows"] = json::array();
    for (auto& [version, object] : found) {
        body["rows"].push_back(std::move(object));
    }
    return {200, std::move(body)};
}

void row_store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock{mutex_};
    ++version_;
    rows_[{table, "", key}] = {value, version_, value.empty()};
    changed_.notify_all();
}

void row_store::forget_history()
{
    const std::lock_guard lock{mutex_};
    oldest_ = ++version_;
    std::erase_if(rows_, [](const auto& item) { return item.second.deleted; });
    changed_.notify_all();
}

std::shared_ptr<const row_store::copy> row_store::make_copy() const
{
    const std::lock_guard lock{mutex_};
    return std::make_shared<const copy>(rows_, version_);
}

void row_store::restore(const copy& from)
{
    const std::lock_guard lock{mutex_};
    const auto before = std::exchange(rows_, from.rows_);
    version_ = from.version_;
    ++era_;
    for (const auto& [key, item] : before) {
        const auto restored = rows_.find(key);
        const bool is_current = restored != rows_.end() && restored->second.value == item.value &&
                                restored->second.deleted == item.deleted;
        if ((key.table == "op" || key.table == "servers") && !is_current) {
            rows_[key] = {item.value, ++version_, item.deleted};
        }
    }
    changed_.notify_all();
}

std::int64_t row_store::era() const
{
    const std::lock_guard lock{mutex_};
    return era_;
}

void row_store::stop()
{
    const std::lock_guard lock{mutex_};
    stopped_ = true;
    changed_.notify_all();
}

std::string row_store::value(const std::string& table, const std::string& part,
                             const std::string& key) const
{
    const std::lock_guard lock{mutex_};
    const auto found = rows_.find({table, part, key});
    return found == rows_.end() || found->second.deleted ? std::string{} : found->second.value;
}

} // namespace jujubevalve::site
