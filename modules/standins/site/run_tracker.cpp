#include "standins/site/run_tracker.h"

#include "core/digest.h"

#include <numeric>

namespace jujubevalve::site
{

void run_tracker::began(const std::string& id, const std::string& account,
                        token_count prompt_tokens)
{
    const std::lock_guard lock{mutex_};
    auto& item = requests_[id];
    item.account = account;
    item.prompt = prompt_tokens;
    ++item.runs;
}

void run_tracker::delivered(const std::string& id, int event, token_count tokens)
{
    const std::lock_guard lock{mutex_};
    requests_[id].events[event] = tokens;
}

void run_tracker::violated(const std::string& what)
{
    const std::lock_guard lock{mutex_};
    violations_.push_back(what);
}

int run_tracker::runs(const std::string& id) const
{
    const std::lock_guard lock{mutex_};
    const auto found = requests_.find(id);
    return found == requests_.end() ? 0 : found->second.runs;
}

token_count run_tracker::spent(const std::string& account) const
{
    const std::lock_guard lock{mutex_};
    token_count sum = 0;
    for (const auto& [id, item] : requests_) {
        sum += item.account == account ? item.spent() : 0;
    }
    return sum;
}

std::string run_tracker::to_text() const
{
    const std::lock_guard lock{mutex_};
    std::string text;
    for (const auto& [id, item] : requests_) {
        text += id + " " + item.account + " " + std::to_string(item.spent()) + " " +
                std::to_string(item.runs) + "\n";
    }
    return text;
}

token_count run_tracker::request_runs::spent() const
{
    return std::accumulate(events.begin(), events.end(), prompt,
                           [](token_count sum, const auto& event) { return sum + event.second; });
}

std::vector<std::string> run_tracker::violations() const
{
    const std::lock_guard lock{mutex_};
    return violations_;
}

std::string event_text(const std::string& id, int number)
{
    return "id: " + std::to_string(number) +
           "\ndata: " + std::to_string(hash64(id, static_cast<std::uint64_t>(number))) + "\n\n";
}

int event_count(const std::string& id)
{
    constexpr int min_events = 3;
    constexpr int spread = 12;
    return min_events + static_cast<int>(hash64(id) % spread);
}

std::string plain_body(const std::string& id)
{
    return "result of " + id + " " + std::to_string(hash64(id, 77));
}

std::string signature_of(const std::string& id)
{
    return "s" + std::to_string(hash64(id, 99));
}

} // namespace jujubevalve::site
