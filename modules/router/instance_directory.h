#pragma once

#include "budget/budget.h"
#include "requests/key_home.h"
#include "router/membership_service.h"
#include "storage/http_platform.h"

#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace jujubevalve
{

/// Returns the name of the platform object with the final records of a drained incarnation.
std::string final_records_name(std::string_view incarnation);

/// Looks up incarnations in the platform's instance rows and in the gossip membership. Satisfies
/// `incarnation_directory`. Thread-safe.
class instance_directory
{
public:
    instance_directory(const membership_service& members, http_platform& platform);

    /// Returns the state of an incarnation, as needed to choose the home of an idempotency key.
    [[nodiscard]] incarnation_info find(const std::string& incarnation) const;

    /// Reads all instance rows and the final records of drained incarnations. Returns false if the
    /// rows could not be read.
    bool poll();

    /// Returns the instance rows as of the last successful poll.
    [[nodiscard]] std::vector<instance_row> rows() const;

private:
    void load_final_records(const std::vector<instance_row>& rows);

    const membership_service& members_;
    http_platform& platform_;
    mutable std::mutex mutex_;
    std::map<std::string, instance_row, std::less<>> rows_;
    std::map<std::string, std::shared_ptr<const final_records>, std::less<>> final_records_;
};

} // namespace jujubevalve
