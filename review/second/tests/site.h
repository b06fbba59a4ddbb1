#pragma once

#include "harness.h"

#include <memory>
#include <string>
#include <vector>

/// The smallest installation of the users' pages, in small: its manifest, routes and requests.
namespace review
{

constexpr const char* host = "site.example";
constexpr const char* engines = "grit-assist";
constexpr const char* ledger = "yard-ledger";
constexpr const char* account_key = "n2ctnfzs989anu6wsjnb";
constexpr const char* account = "hule930";

/// Of route-brief, in tokens.
constexpr std::int64_t prompt_tokens = 9190;
constexpr std::int64_t tokens_per_event = 3;

/// The manifest with the tenant's prepaid tokens.
nlohmann::json manifest(int version, std::int64_t prepaid);

/// A request of route-brief that asks for at most `events` events.
std::string brief_request(const std::string& id, int events, std::int64_t time_limit_ms = 8000);
/// A request of refill-order.
std::string order_request(const std::string& id, std::int64_t time_limit_ms = 1500);

std::string signature(const std::string& id);
/// An event of the stream that answers a request.
std::string event(const std::string& id, int number);
/// A whole answer with a length.
std::string answer(const std::string& id, const std::string& body,
                   const std::string& more_headers = {});
/// Head of a stream in chunks.
std::string stream_head(const std::string& id);
/// A refusal that has not run the request.
std::string refusal(const std::string& status, const std::string& id);

/// Starts gateways that all use one store, and waits until they are ready.
std::vector<std::unique_ptr<gateway>> start_gateways(const setting& made, int count,
                                                     const store& rows);

} // namespace review
