#include "dispatch/evacuations.h"

#include <algorithm>
#include <iterator>

namespace jujubevalve
{

evacuations::changes evacuations::replace_all(const std::set<std::string, std::less<>>& domains)
{
    changes changed;
    std::set_difference(domains.begin(), domains.end(), domains_.begin(), domains_.end(),
                        std::back_inserter(changed.begun));
    std::set_difference(domains_.begin(), domains_.end(), domains.begin(), domains.end(),
                        std::back_inserter(changed.ended));
    domains_ = domains;
    return changed;
}

evacuations::changes evacuations::set(const std::string& domain, bool is_evacuated)
{
    changes changed;
    if (is_evacuated && domains_.insert(domain).second) {
        changed.begun.push_back(domain);
    } else if (!is_evacuated && domains_.erase(domain) > 0) {
        changed.ended.push_back(domain);
    }
    return changed;
}

} // namespace jujubevalve
