#pragma once

#include "exchange/Events.hpp"
#include "exchange/HttpProtocol.hpp"

#include <cstdint>
#include <string>
#include <string_view>

namespace redwing::Detail {

/// How the end of a response body is marked.
enum class BodyFraming : std::uint8_t
{
  /// No body: HEAD, 204, 304.
  None,
  ContentLength,
  Chunked,
  /// HTTP/1.0 callers get a body of unknown length until the connection closes.
  UntilClose,
};

struct ResponseHeadText
{
  const ResponseStart& start_;
  std::string_view requestId_;
  BodyFraming framing_;
  std::uint64_t contentLength_;
  bool showLength_;
  bool close_;
};

/// Appends the status line and headers of a response to aOut.
///
/// Preconditions: none. Thread safety: callable from any thread.
void AppendResponseHead(std::string& aOut,
                        const HttpProtocol& aProtocol,
                        const ResponseHeadText& aHead);

/// Appends a chunk of a chunked body to aOut; an empty one is left out, as it would end the body.
///
/// Preconditions: none. Thread safety: callable from any thread.
void AppendChunk(std::string& aOut, std::string_view aBytes);

/// Returns the HTTP status of aRefusal.
///
/// Preconditions: none. Thread safety: callable from any thread.
unsigned StatusOf(const HttpProtocol& aProtocol, const Refusal& aRefusal);

/// Appends a whole response for a refusal, with an RFC 9457 body, to aOut.
///
/// Preconditions: none. Thread safety: callable from any thread.
void AppendRefusal(std::string& aOut,
                   const HttpProtocol& aProtocol,
                   const Refusal& aRefusal,
                   std::string_view aRequestId,
                   bool aHeadOnly,
                   bool aClose);

} // namespace redwing::Detail
