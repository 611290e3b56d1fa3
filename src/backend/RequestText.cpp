#include "backend/RequestText.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <string_view>

namespace redwing {

namespace {

constexpr std::array<std::string_view, 10> kDroppedHeaders{
  "connection", "content-length",    "expect",  "keep-alive", "proxy-connection",
  "te",         "transfer-encoding", "trailer", "upgrade",    "proxy-authorization"
};

bool
IsDropped(const HttpProtocol& aProtocol, std::string_view aName)
{
  const std::string& prefix = aProtocol.ownPrefix_;
  return (!prefix.empty() && boost::algorithm::istarts_with(aName, prefix)) ||
         boost::algorithm::iequals(aName, aProtocol.apiKeyHeader_) ||
         std::any_of(
           kDroppedHeaders.begin(), kDroppedHeaders.end(), [&](std::string_view aDropped) {
             return boost::algorithm::iequals(aName, aDropped);
           });
}

/// Returns whether aText contains a byte below aFirstAllowed, except a tab, or a delete character.
/// Control characters in a header or in the request line would allow header injection.
bool
HasControlCharacter(std::string_view aText, unsigned char aFirstAllowed)
{
  constexpr unsigned char kDelete = 0x7F;
  return std::any_of(aText.begin(), aText.end(), [aFirstAllowed](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    return (byte < aFirstAllowed && byte != '\t') || byte == kDelete;
  });
}

/// Returns whether aText is not empty and has no blank or control characters.
bool
IsWord(std::string_view aText)
{
  constexpr unsigned char kFirstPrintable = '!';
  return !aText.empty() && !HasControlCharacter(aText, kFirstPrintable) &&
         aText.find('\t') == std::string_view::npos;
}

void
AppendHeader(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

void
AppendRouterHeader(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  if (!aName.empty()) {
    AppendHeader(aHead, aName, aValue);
  }
}

void
AppendRouterHeaders(std::string& aHead,
                    const HttpProtocol& aProtocol,
                    const RequestStart& aStart,
                    std::uint64_t aToken,
                    const std::string& aServerId,
                    TimePoint aNow)
{
  using std::chrono::milliseconds;
  const auto left = std::chrono::duration_cast<milliseconds>(aStart.deadline_ - aNow).count();
  AppendRouterHeader(aHead, aProtocol.requestIdHeader_, aStart.requestId_);
  if (!aStart.workspace_.empty()) {
    AppendRouterHeader(aHead, aProtocol.workspaceHeader_, aStart.workspace_);
  }
  AppendRouterHeader(
    aHead, aProtocol.deadlineHeader_, std::to_string(std::max<std::int64_t>(0, left)));
  if (aStart.shard_) {
    AppendRouterHeader(
      aHead, aProtocol.shardHeader_, ShardName(aStart.service_, aStart.shard_->shard_));
    AppendRouterHeader(aHead, aProtocol.tokenHeader_, std::to_string(aToken));
  }
  if (!aServerId.empty()) {
    AppendRouterHeader(aHead, aProtocol.expectedServerHeader_, aServerId);
  }
}

} // namespace

std::string
ShardName(const std::string& aService, std::uint32_t aIndex)
{
  return aService + '/' + std::to_string(aIndex);
}

std::optional<HttpRequest>
BuildRequest(const HttpProtocol& aProtocol,
             const RequestStart& aStart,
             std::uint64_t aToken,
             const Address& aAddress,
             const std::string& aServerId,
             TimePoint aNow)
{
  if (!IsWord(aStart.method_) || !IsWord(aStart.target_)) {
    return std::nullopt;
  }
  constexpr unsigned char kSpace = ' ';
  HttpRequest request;
  request.headMethod_ = aStart.method_ == "HEAD";
  request.last_ = aStart.last_;
  auto& head = request.head_;
  constexpr std::size_t kTypicalHeadBytes = 512;
  head.reserve(kTypicalHeadBytes);
  head.append(aStart.method_).append(" ").append(aStart.target_).append(" HTTP/1.1\r\n");
  bool hasHost = false;
  for (const auto& header : aStart.headers_) {
    if (!IsWord(header.name_) || header.name_.find(':') != std::string::npos ||
        HasControlCharacter(header.value_, kSpace) || IsDropped(aProtocol, header.name_)) {
      continue;
    }
    hasHost = hasHost || boost::algorithm::iequals(header.name_, "host");
    AppendHeader(head, header.name_, header.value_);
  }
  if (!hasHost) {
    AppendHeader(head, "Host", aAddress.ToString());
  }
  AppendRouterHeaders(head, aProtocol, aStart, aToken, aServerId, aNow);
  if (aProtocol.serverEchoesId_) {
    request.idHeader_ = aProtocol.requestIdHeader_;
    request.id_ = aStart.requestId_;
  }
  if (aStart.last_) {
    const bool bodyless = aStart.method_ == "GET" || request.headMethod_;
    if (!aStart.body_.empty() || !bodyless) {
      AppendHeader(head, "Content-Length", std::to_string(aStart.body_.size()));
    }
  } else if (aStart.contentLength_) {
    AppendHeader(head, "Content-Length", std::to_string(*aStart.contentLength_));
  } else {
    request.chunked_ = true;
    AppendHeader(head, "Transfer-Encoding", "chunked");
  }
  head.append("\r\n");
  return request;
}

} // namespace redwing
