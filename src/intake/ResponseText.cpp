#include "intake/ResponseText.hpp"

#include "intake/RequestHead.hpp"

#include <array>
#include <boost/beast/http/status.hpp>
#include <charconv>

namespace redwing::Detail {

namespace {

constexpr std::uint32_t kMillisecondsPerSecond = 1000;
constexpr int kHexBase = 16;
constexpr std::size_t kHexDigits = 16;
constexpr std::string_view kRequestId = "Redwing-Request-Id";
constexpr std::string_view kOutcome = "Redwing-Outcome";
constexpr std::string_view kError = "Redwing-Error";

/// Headers by which callers recognise our refusals; a backend server may not forge them.
bool
IsOwn(std::string_view aName)
{
  return SameName(aName, kRequestId) || SameName(aName, kOutcome) || SameName(aName, kError);
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
ProblemBody(const Refusal& aRefusal, std::string_view aRequestId)
{
  const unsigned status = HttpStatus(aRefusal.code_);
  std::string body = "{\"type\":\"about:blank\",\"title\":\"";
  body.append(Reason(status)).append("\",\"status\":").append(std::to_string(status));
  body.append(",\"code\":\"").append(ToText(aRefusal.code_));
  body.append("\",\"outcome\":\"").append(ToText(aRefusal.outcome_)).append("\",\"detail\":\"");
  AppendJsonText(body, aRefusal.detail_);
  body.append("\",\"request_id\":\"");
  AppendJsonText(body, aRequestId);
  body.append("\"}\n");
  return body;
}

} // namespace

void
AppendResponseHead(std::string& aOut, const ResponseHeadText& aHead)
{
  AppendStatusLine(aOut, aHead.start_.status_);
  for (const Header& header : aHead.start_.headers_) {
    if (!IsHopByHop(header.name_) && !IsOwn(header.name_)) {
      AppendHeader(aOut, header.name_, header.value_);
    }
  }
  AppendHeader(aOut, kRequestId, aHead.requestId_);
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

void
AppendRefusal(std::string& aOut,
              const Refusal& aRefusal,
              std::string_view aRequestId,
              bool aHeadOnly,
              bool aClose)
{
  const std::string body = ProblemBody(aRefusal, aRequestId);
  const unsigned status = HttpStatus(aRefusal.code_);
  AppendStatusLine(aOut, status);
  AppendHeader(aOut, "Content-Type", "application/problem+json");
  AppendHeader(aOut, "Content-Length", std::to_string(body.size()));
  AppendHeader(aOut, kRequestId, aRequestId);
  AppendHeader(aOut, kOutcome, ToText(aRefusal.outcome_));
  AppendHeader(aOut, kError, ToText(aRefusal.code_));
  if (aRefusal.code_ == ErrorCode::MissingKey || aRefusal.code_ == ErrorCode::InvalidKey) {
    AppendHeader(aOut, "WWW-Authenticate", "Bearer");
  }
  if (aRefusal.retryAfterMs_) {
    // Rounded up: a caller that comes back earlier is refused again.
    const std::uint32_t seconds =
      (*aRefusal.retryAfterMs_ + kMillisecondsPerSecond - 1) / kMillisecondsPerSecond;
    AppendHeader(aOut, "Retry-After", std::to_string(seconds));
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
