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

/// Name of the object that holds the final records of a drained incarnation.
std::string final_records_name(std::string_view incarnation);

/// What is known of incarnations, from their rows in the platform and from gossip. Satisfies
/// `incarnation_directory`. Safe to use from any thread.
class instance_directory
{
public:
    instance_directory(const membership_service& members, http_platform& platform);

    /// State of an incarnation for the choice of a key's home.
    [[nodiscard]] incarnation_info find(const std::string& incarnation) const;

    /// Reads all instance rows and the final records of those that drained. False if the platform
    /// did not answer.
    bool poll();

    /// The rows as last read.
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
