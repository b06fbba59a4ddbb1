#pragma once

#include "core/time_ms.h"
#include "dispatch/call_request.h"
#include "dispatch/evacuations.h"
#include "dispatch/server_entry.h"
#include "dispatch/server_pace.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace jujubevalve
{

/// What the end of a request at a server shows about the server's health.
enum class server_verdict {
    good,        ///< a complete response
    refused,     ///< stated that it did not run the request, for example because it is full
    misdirected, ///< another server now has its address
    bad_answer,  ///< a server error, or a response that did not come from this server
    unreachable, ///< no connection, connection lost, or no response in time
    neutral,     ///< ended for a reason unrelated to the server
};

/// Registration and observed state of one server.
struct server_state {
    server_entry entry;
    bool has_announced_end{false}; ///< said in an answer that it leaves, whatever its entry says
    std::int64_t own_running{0};   ///< requests of this process that run or wait there
    token_count own_prefill_tokens{0}; ///< prompt tokens of these requests, not prefilled yet
    std::optional<server_load> report; ///< the latest load report
    time_ms report_received_at{};
    server_pace pace;           ///< from its load reports
    time_ms last_received_at{}; ///< when the last byte was received from it
    std::int64_t sent_since_report{0};
    int consecutive_failures{0}; ///< unreachable verdicts
    int consecutive_errors{0};   ///< bad_answer verdicts
    time_ms avoid_until{};       ///< until then chosen only if no other server can be
    time_ms full_until{};        ///< until then it counts as full, since it refused a request
    time_ms latency{};           ///< moving average over good responses to plain calls

    /// Whether the server takes no new requests.
    [[nodiscard]] bool is_leaving() const { return entry.leaving || has_announced_end; }
};

/// The registered servers of all services, with the state this process has observed of them. A
/// removed entry is kept while the registry is unreachable and for a grace period after an outage
/// that was long enough for registrations to lapse: a live server registers again.
class server_directory
{
public:
    /// Replaces all entries with a full listing of the registry.
    void replace_all(const std::vector<server_entry>& entries, time_ms now);

    /// Adds or updates an entry. A new incarnation resets the observed state.
    void put(const server_entry& entry, time_ms now);

    /// Marks an entry as removed from the registry.
    void remove(std::string_view id, time_ms now);

    /// Continues with a registry that was restored from a copy. Its servers register again;
    /// registrations that are older than those known are ignored.
    void begin_store_era(time_ms now);

    /// Records that the registry was read successfully. Call it before applying the changes.
    void note_registry_read(time_ms now);

    /// Erases removed entries unless the grace period still runs.
    void expire(time_ms now);

    /// The failure domains whose servers are no candidates.
    [[nodiscard]] evacuations& evacuated_domains() { return evacuated_domains_; }

    /// Returns the servers of a service that accept new requests.
    [[nodiscard]] std::vector<server_state*> candidates(std::string_view service);

    /// Returns a server by id; null if it is not registered.
    [[nodiscard]] server_state* find(std::string_view id);

    /// Counts a request that is sent to the server as running there until ended().
    void started(std::string_view id, token_count prefill_tokens);
    /// Subtracts a request's prompt tokens once its first output token, or its end, shows that
    /// their prefill is over.
    void prompt_read(std::string_view id, token_count prefill_tokens);
    /// Records that a request has ended at the server.
    void ended(std::string_view id, server_verdict verdict, time_ms now);
    /// Records that bytes were received from the server.
    void note_received(std::string_view id, time_ms now);
    /// Returns whether nothing was received from the server after `since`, so that it may be
    /// unreachable.
    [[nodiscard]] bool is_silent_since(std::string_view id, time_ms since);
    /// Records a load report of the server.
    void reported(std::string_view id, const server_load& load, time_ms now);
    /// Returns the id of the server with this server_key; empty if it is not registered.
    [[nodiscard]] std::string id_of(std::uint64_t key) const;
    /// Avoids a server that another instance saw crash. `key`: its server_key.
    void avoid_crashed(std::uint64_t key, time_ms now);
    /// Records that an answer of an incarnation says that it leaves. It gets no more requests, also
    /// if its entry says otherwise later. Returns whether this was not known.
    bool note_leaving(std::string_view id, std::int64_t incarnation, time_ms now);
    /// Adds a latency to the server's moving average.
    void add_latency(std::string_view id, time_ms latency);

    /// Returns the entries of all registered servers, also of leaving ones.
    [[nodiscard]] std::vector<server_entry> entries() const;

    [[nodiscard]] std::size_t size() const { return servers_.size(); }

private:
    struct registration {
        std::shared_ptr<server_state> state;
        std::optional<time_ms> removed_at;
        std::int64_t sequence{0}; ///< the highest of the incarnation
    };

    /// The last registration of a server that is known.
    struct last_registration {
        std::int64_t incarnation{0};
        std::int64_t sequence{0};
        bool is_gone{false};
    };
    using last_registrations = std::map<std::string, last_registration, std::less<>>;

    /// Returns whether the entry is from a copy of the registry and something later is known.
    [[nodiscard]] bool is_outdated(const server_entry& entry) const;

    /// Avoids the server for a time that doubles with each of `doublings`, up to a max.
    void avoid(server_state& state, int doublings, time_ms now);

    std::map<std::string, registration, std::less<>> servers_;
    last_registrations gone_;                         ///< servers that were removed
    last_registrations before_copy_;                  ///< as known when the registry was restored
    std::map<std::uint64_t, time_ms> announced_ends_; ///< when servers said so, by server_key
    evacuations evacuated_domains_;
    std::optional<time_ms> last_registry_read_;
    std::optional<time_ms> last_outage_end_;
};

} // namespace jujubevalve
