#include "intake/ResponseText.hpp"

#include "intake/RequestHead.hpp"

#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace redwing::Detail {

namespace {

constexpr std::uint32_t kMillisecondsPerSecond = 1000;
constexpr std::size_t kFractionDigits = 3;
constexpr int kHexBase = 16;
constexpr std::size_t kHexDigits = 16;
constexpr unsigned kBadGateway = 502;
constexpr unsigned kUnavailable = 503;
constexpr unsigned kGatewayTimeout = 504;

/// Headers by which callers recognise our refusals; a backend server may not forge them.
bool
IsOwn(const HttpProtocol& aProtocol, std::string_view aName)
{
  return SameName(aName, aProtocol.requestIdHeader_) || SameName(aName, aProtocol.outcomeHeader_) ||
         SameName(aName, aProtocol.errorHeader_);
}

std::string_view
Reason(unsigned aStatus)
{
  const auto reason =
    boost::beast::http::obsolete_reason(boost::beast::http::int_to_status(aStatus));
  return { reason.data(), reason.size() };
}

void
AppendStatusLine(std::string& aOut, unsigned aStatus)
{
  aOut.append("HTTP/1.1 ").append(std::to_string(aStatus)).append(" ");
  aOut.append(Reason(aStatus)).append("\r\n");
}

void
AppendHeader(std::string& aOut, std::string_view aName, std::string_view aValue)
{
  if (aName.empty()) {
    return;
  }
  aOut.append(aName).append(": ").append(aValue).append("\r\n");
}

void
AppendJsonText(std::string& aOut, std::string_view aText)
{
  for (const char c : aText) {
    if (c == '"' || c == '\\') {
      aOut.push_back('\\');
      aOut.push_back(c);
    } else {
      aOut.push_back(static_cast<unsigned char>(c) < ' ' ? ' ' : c);
    }
  }
}

std::string
ProblemBody(const Refusal& aRefusal, unsigned aStatus, std::string_view aRequestId)
{
  std::string body = "{\"type\":\"about:blank\",\"title\":\"";
  body.append(Reason(aStatus)).append("\",\"status\":").append(std::to_string(aStatus));
  body.append(",\"code\":\"").append(ToText(aRefusal.code_));
  body.append("\",\"outcome\":\"").append(ToText(aRefusal.outcome_)).append("\",\"detail\":\"");
  AppendJsonText(body, aRefusal.detail_);
  body.append("\",\"request_id\":\"");
  AppendJsonText(body, aRequestId);
  body.append("\"}\n");
  return body;
}

std::string
RetryAfterText(const HttpProtocol& aProtocol, std::uint32_t aMilliseconds)
{
  if (aProtocol.fractionalRetryAfter_) {
    std::string fraction = std::to_string(aMilliseconds % kMillisecondsPerSecond);
    fraction.insert(0, kFractionDigits - fraction.size(), '0');
    return std::to_string(aMilliseconds / kMillisecondsPerSecond) + "." + fraction;
  }
  // Rounded up: a caller that comes back earlier is refused again.
  return std::to_string((aMilliseconds + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond);
}

} // namespace

void
AppendResponseHead(std::string& aOut, const HttpProtocol& aProtocol, const ResponseHeadText& aHead)
{
  AppendStatusLine(aOut, aHead.start_.status_);
  for (const Header& header : aHead.start_.headers_) {
    if (!IsHopByHop(header.name_) && !IsOwn(aProtocol, header.name_)) {
      AppendHeader(aOut, header.name_, header.value_);
    }
  }
  AppendHeader(aOut, aProtocol.requestIdHeader_, aHead.requestId_);
  if (aHead.framing_ == BodyFraming::Chunked) {
    AppendHeader(aOut, "Transfer-Encoding", "chunked");
  } else if (aHead.showLength_) {
    AppendHeader(aOut, "Content-Length", std::to_string(aHead.contentLength_));
  }
  if (aHead.close_) {
    AppendHeader(aOut, "Connection", "close");
  }
  aOut.append("\r\n");
}

void
AppendChunk(std::string& aOut, std::string_view aBytes)
{
  if (aBytes.empty()) {
    return;
  }
  std::array<char, kHexDigits> digits{};
  const auto end =
    std::to_chars(digits.data(), digits.data() + digits.size(), aBytes.size(), kHexBase);
  aOut.append(digits.data(), end.ptr).append("\r\n").append(aBytes).append("\r\n");
}

unsigned
StatusOf(const HttpProtocol& aProtocol, const Refusal& aRefusal)
{
  const unsigned status = HttpStatus(aRefusal.code_);
  if (!aProtocol.statusTellsOutcome_) {
    return status;
  }
  if (aRefusal.outcome_ == Outcome::Unknown) {
    return status == kUnavailable ? kBadGateway : status;
  }
  return status == kGatewayTimeout ? kUnavailable : status;
}

void
AppendRefusal(std::string& aOut,
              const HttpProtocol& aProtocol,
              const Refusal& aRefusal,
              std::string_view aRequestId,
              bool aHeadOnly,
              bool aClose)
{
  const unsigned status = StatusOf(aProtocol, aRefusal);
  const std::string body = ProblemBody(aRefusal, status, aRequestId);
  AppendStatusLine(aOut, status);
  AppendHeader(aOut, "Content-Type", "application/problem+json");
  AppendHeader(aOut, "Content-Length", std::to_string(body.size()));
  AppendHeader(aOut, aProtocol.requestIdHeader_, aRequestId);
  AppendHeader(aOut, aProtocol.outcomeHeader_, ToText(aRefusal.outcome_));
  AppendHeader(aOut, aProtocol.errorHeader_, ToText(aRefusal.code_));
  const bool unauthorized =
    aRefusal.code_ == ErrorCode::MissingKey || aRefusal.code_ == ErrorCode::InvalidKey;
  if (unauthorized && !aProtocol.apiKeyScheme_.empty()) {
    AppendHeader(aOut, "WWW-Authenticate", aProtocol.apiKeyScheme_);
  }
  if (aRefusal.retryAfterMs_) {
    AppendHeader(aOut, "Retry-After", RetryAfterText(aProtocol, *aRefusal.retryAfterMs_));
  }
  if (aClose) {
    AppendHeader(aOut, "Connection", "close");
  }
  aOut.append("\r\n");
  if (!aHeadOnly) {
    aOut.append(body);
  }
}

} // namespace redwing::Detail
