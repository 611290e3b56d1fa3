#pragma once

#include "backend/HttpConnection.hpp"
#include "exchange/HttpProtocol.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace redwing {

constexpr std::uint16_t kStatusMisdirected = 421;
constexpr std::uint16_t kStatusTooMany = 429;

/// Returns the value of the first header aName, or null.
///
/// Preconditions: none. Thread safety: callable from any thread.
const std::string* FindHeader(const HttpHead& aHead, std::string_view aName);

/// Returns whether the response states that the server did not run the request.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool ReportsNotRun(const HttpProtocol& aProtocol, const HttpHead& aHead);

/// Returns whether callers take the status alone as a promise that the request did not run.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool PromisesNotRun(const HttpProtocol& aProtocol, std::uint16_t aStatus);

} // namespace redwing
