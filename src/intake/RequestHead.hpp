#pragma once

#include "exchange/Events.hpp"
#include "exchange/HttpProtocol.hpp"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace redwing::Detail {

/// Head of a caller's request after it was checked and cleaned.
struct RequestHead
{
  std::string method_;
  /// Path and query without API key parameters.
  std::string target_;
  std::size_t pathBytes_ = 0;
  /// End-to-end headers without credentials and Redwing-* headers.
  HeaderList headers_;
  std::string apiKey_;
  bool hasAuthorization_ = false;
  std::string idempotencyKey_;
  std::optional<std::chrono::milliseconds> timeout_;
  bool expectsContinue_ = false;
  /// Host header without port, in lower case.
  std::string host_;
  /// The caller's own id of the request; empty if it sent none or ids are assigned here.
  std::string requestId_;

  std::string_view Path() const { return std::string_view(target_).substr(0, pathBytes_); }
};

/// Checks and cleans a parsed head. Returns a description of the fault when the request is
/// malformed, nullptr otherwise.
///
/// Preconditions: none. Thread safety: callable from any thread.
const char* CleanHead(const HttpProtocol& aProtocol,
                      std::string&& aMethod,
                      std::string&& aTarget,
                      HeaderList&& aHeaders,
                      RequestHead& aHead);

/// Returns aHost without port, in lower case.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string HostName(std::string_view aHost);

/// Returns aQuery without the parameters `key` and `api_key`, also percent-encoded.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string WithoutKeyParameters(std::string_view aQuery);

/// Compares header names, which ignore case.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool SameName(std::string_view aLeft, std::string_view aRight);

/// Returns whether aName is a hop-by-hop header or one that frames the message.
///
/// Preconditions: none. Thread safety: callable from any thread.
bool IsHopByHop(std::string_view aName);

} // namespace redwing::Detail
