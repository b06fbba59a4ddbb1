#pragma once

#include "budget/grant_tracker.h"
#include "core/time_ms.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// Reservations that this instance made for requests of other instances, by the other instance's
/// incarnation and the number it gave the reservation. Each ends exactly once, however often its
/// end is reported.
class lent_reservations
{
public:
    void add(const std::string& borrower, std::uint64_t number, reservation_id reservation,
             time_ms now);

    /// Removes and returns a reservation; nothing if it has ended or never existed.
    [[nodiscard]] std::optional<reservation_id> take(std::string_view borrower,
                                                     std::uint64_t number);

    /// Removes and returns all reservations of an incarnation that has terminated.
    [[nodiscard]] std::vector<reservation_id> take_all(std::string_view borrower);

    /// Removes and returns the reservations that were added before `cutoff`.
    [[nodiscard]] std::vector<reservation_id> take_older_than(time_ms cutoff);

    /// Returns the incarnations that have reservations.
    [[nodiscard]] std::vector<std::string> borrowers() const;

    [[nodiscard]] std::size_t size() const;

private:
    struct lent {
        reservation_id reservation{0};
        time_ms added_at{};
    };

    std::map<std::string, std::map<std::uint64_t, lent>, std::less<>> by_borrower_;
};

} // namespace jujubevalve
