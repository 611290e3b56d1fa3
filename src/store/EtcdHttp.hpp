#pragma once

#include "core/Address.hpp"
#include "store/EtcdClient.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

/// HTTP helpers shared by calls and watches; included by .cpp files only.
namespace redwing::Detail {

using HttpRequest = boost::beast::http::request<boost::beast::http::string_body>;

/// Preconditions: aAddress is valid. Thread safety: callable from any thread.
inline boost::asio::ip::tcp::endpoint
ToEndpoint(const Address& aAddress)
{
  return { boost::asio::ip::make_address_v4(aAddress.ip_), aAddress.port_ };
}

/// Preconditions: none. Thread safety: callable from any thread.
inline HttpRequest
MakeHttpRequest(EtcdRequest aRequest, const Address& aAddress)
{
  constexpr unsigned kHttp11 = 11;
  HttpRequest request(
    boost::beast::http::verb::post, aRequest.path_, kHttp11, std::move(aRequest.body_));
  request.set(boost::beast::http::field::host, aAddress.ToString());
  request.set(boost::beast::http::field::content_type, "application/json");
  request.prepare_payload();
  return request;
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
