#pragma once

#include "core/Address.hpp"
#include "store/HttpClient.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <netinet/tcp.h>
#include <optional>
#include <utility>

/// HTTP helpers shared by calls and watches; included by .cpp files only.
namespace redwing::Detail {

using StoreHttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Preconditions: aAddress is valid. Thread safety: callable from any thread.
inline boost::asio::ip::tcp::endpoint
ToEndpoint(const Address& aAddress)
{
  return { boost::asio::ip::make_address_v4(aAddress.ip_), aAddress.port_ };
}

/// Preconditions: none. Thread safety: callable from any thread.
inline StoreHttpRequest
MakeHttpRequest(HttpStoreRequest aRequest, const Address& aAddress)
{
  constexpr unsigned kHttp11 = 11;
  StoreHttpRequest request(boost::beast::http::string_to_verb(aRequest.method_),
                           aRequest.path_,
                           kHttp11,
                           std::move(aRequest.body_));
  request.set(boost::beast::http::field::host, aAddress.ToString());
  if (!request.body().empty()) {
    request.set(boost::beast::http::field::content_type, "application/json");
  }
  request.prepare_payload();
  return request;
}

inline StoreError
BudgetError()
{
  return { StoreErrorKind::BudgetExceeded, "call budget used up or back-off running" };
}

/// Sets keep-alive probes. A call that waits for news is silent by nature, so only the probes tell
/// a lost store from a quiet one. The connection is given up after about 3 s, the time in which
/// configuration must be confirmed.
///
/// Preconditions: aSocket is open. Thread safety: not thread-safe.
inline void
SetSocketOptions(boost::asio::ip::tcp::socket& aSocket)
{
  constexpr int kIdleSeconds = 1;
  constexpr int kIntervalSeconds = 1;
  constexpr int kProbes = 2;
  const int handle = aSocket.native_handle();
  const int enabled = 1;
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof enabled);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds, sizeof kIdleSeconds);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kIntervalSeconds, sizeof kIntervalSeconds);
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbes, sizeof kProbes);
  setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
}

/// Returns the error that a status stands for, nothing for 200. The store may have applied a write
/// that it answers with 5xx, for example after a time-out between its own members.
///
/// Preconditions: none. Thread safety: callable from any thread.
inline std::optional<StoreErrorKind>
ClassifyStatus(unsigned aStatus, bool aWrites)
{
  constexpr unsigned kOk = 200;
  constexpr unsigned kTooManyRequests = 429;
  constexpr unsigned kFirstClientError = 400;
  constexpr unsigned kFirstServerError = 500;
  if (aStatus == kOk) {
    return std::nullopt;
  }
  if (aStatus == kTooManyRequests) {
    return StoreErrorKind::Unavailable;
  }
  if (aStatus >= kFirstClientError && aStatus < kFirstServerError) {
    return StoreErrorKind::Rejected;
  }
  return aWrites ? StoreErrorKind::OutcomeUnknown : StoreErrorKind::Unavailable;
}

} // namespace redwing::Detail
