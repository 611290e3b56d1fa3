#pragma once

#include "backend/HttpConnection.hpp"
#include "exchange/Events.hpp"
#include "exchange/HttpProtocol.hpp"

#include <cstdint>
#include <optional>
#include <string>

namespace redwing {

/// Builds the HTTP request for the backend server. Hop-by-hop headers, the API key and headers that
/// the router sets itself are never copied from the caller. Returns nothing if the method or the
/// target is empty or contains a blank or control character, which would break the request line.
/// aServerId identifies the server run that the request is meant for; it may be empty.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::optional<HttpRequest> BuildRequest(const HttpProtocol& aProtocol,
                                        const RequestStart& aStart,
                                        std::uint64_t aToken,
                                        const Address& aAddress,
                                        const std::string& aServerId,
                                        TimePoint aNow);

/// Returns the name of a shard in the form `service/index`.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string ShardName(const std::string& aService, std::uint32_t aIndex);

} // namespace redwing
