#include "dispatch/lent_reservations.h"

namespace jujubevalve
{

void lent_reservations::add(const std::string& borrower, std::uint64_t number,
                            reservation_id reservation, time_ms now)
{
    by_borrower_[borrower][number] = {reservation, now};
}

std::optional<reservation_id> lent_reservations::take(std::string_view borrower,
                                                      std::uint64_t number)
{
    const auto reservations = by_borrower_.find(borrower);
    if (reservations == by_borrower_.end()) {
        return std::nullopt;
    }
    const auto found = reservations->second.find(number);
    if (found == reservations->second.end()) {
        return std::nullopt;
    }
    const auto reservation = found->second.reservation;
    reservations->second.erase(found);
    if (reservations->second.empty()) {
        by_borrower_.erase(reservations);
    }
    return reservation;
}

std::vector<reservation_id> lent_reservations::take_all(std::string_view borrower)
{
    std::vector<reservation_id> taken;
    const auto reservations = by_borrower_.find(borrower);
    if (reservations == by_borrower_.end()) {
        return taken;
    }
    for (const auto& [number, entry] : reservations->second) {
        taken.push_back(entry.reservation);
    }
    by_borrower_.erase(reservations);
    return taken;
}

std::vector<reservation_id> lent_reservations::take_older_than(time_ms cutoff)
{
    std::vector<reservation_id> taken;
    for (auto& [borrower, entries] : by_borrower_) {
        std::erase_if(entries, [&](const auto& entry) {
            if (entry.second.added_at >= cutoff) {
                return false;
            }
            taken.push_back(entry.second.reservation);
            return true;
        });
    }
    std::erase_if(by_borrower_, [](const auto& entry) { return entry.second.empty(); });
    return taken;
}

std::vector<std::string> lent_reservations::borrowers() const
{
    std::vector<std::string> found;
    for (const auto& [borrower, reservations] : by_borrower_) {
        found.push_back(borrower);
    }
    return found;
}

std::size_t lent_reservations::size() const
{
    std::size_t count = 0;
    for (const auto& [borrower, reservations] : by_borrower_) {
        count += reservations.size();
    }
    return count;
}

} // namespace jujubevalve
