#pragma once

#include "backend/HttpConnection.hpp"
#include "exchange/Events.hpp"
#include "exchange/HttpProtocol.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace redwing {

/// Builds the HTTP request for the backend server. Headers that the router sets itself, hop-by-hop
/// headers and the API key are left out whatever the caller sent; nothing is returned if method or
/// target would break the request line. aServerId names the run of the server that the request is
/// meant for; it may be empty.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<HttpRequest> BuildRequest(const HttpProtocol& aProtocol,
                                        const RequestStart& aStart,
                                        std::uint64_t aToken,
                                        const Address& aAddress,
                                        const std::string& aServerId,
                                        TimePoint aNow);

/// Returns `service/index`.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string ShardName(const std::string& aService, std::uint32_t aIndex);

} // namespace redwing
