#include "backend/RequestText.hpp"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <string_view>

namespace redwing {

namespace {

constexpr std::array<std::string_view, 11> kDroppedHeaders{
  "authorization",      "connection", "content-length",    "expect",  "keep-alive",
  "proxy-connection",   "te",         "transfer-encoding", "trailer", "upgrade",
  "proxy-authorization"
};
constexpr std::string_view kOwnPrefix = "redwing-";

bool
IsDropped(std::string_view aName)
{
  return boost::algorithm::istarts_with(aName, kOwnPrefix) ||
         std::any_of(
           kDroppedHeaders.begin(), kDroppedHeaders.end(), [&](std::string_view aDropped) {
             return boost::algorithm::iequals(aName, aDropped);
           });
}

/// Control characters in a header or request line would let its sender add lines of its own.
bool
HasControl(std::string_view aText, unsigned char aLeast)
{
  constexpr unsigned char kDelete = 0x7F;
  return std::any_of(aText.begin(), aText.end(), [aLeast](char aCharacter) {
    const auto byte = static_cast<unsigned char>(aCharacter);
    return (byte < aLeast && byte != '\t') || byte == kDelete;
  });
}

bool
IsWord(std::string_view aText)
{
  constexpr unsigned char kFirstPrintable = '!';
  return !aText.empty() && !HasControl(aText, kFirstPrintable) &&
         aText.find('\t') == std::string_view::npos;
}

void
AppendHeader(std::string& aHead, std::string_view aName, std::string_view aValue)
{
  aHead.append(aName).append(": ").append(aValue).append("\r\n");
}

void
AppendOwnHeaders(std::string& aHead,
                 const RequestStart& aStart,
                 std::uint64_t aToken,
                 TimePoint aNow)
{
  using std::chrono::milliseconds;
  const auto left = std::chrono::duration_cast<milliseconds>(aStart.deadline_ - aNow).count();
  AppendHeader(aHead, "Redwing-Request-Id", aStart.requestId_);
  AppendHeader(aHead, "Redwing-Workspace", aStart.workspace_);
  AppendHeader(aHead, "Redwing-Deadline-Ms", std::to_string(std::max<std::int64_t>(0, left)));
  if (aStart.shard_) {
    AppendHeader(aHead, "Redwing-Shard", ShardName(aStart.service_, aStart.shard_->shard_));
    AppendHeader(aHead, "Redwing-Token", std::to_string(aToken));
  }
}

} // namespace

std::string
ShardName(const std::string& aService, std::uint32_t aIndex)
{
  return aService + '/' + std::to_string(aIndex);
}

std::optional<HttpRequest>
BuildRequest(const RequestStart& aStart,
             std::uint64_t aToken,
             const Address& aAddress,
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
        HasControl(header.value_, kSpace) || IsDropped(header.name_)) {
      continue;
    }
    hasHost = hasHost || boost::algorithm::iequals(header.name_, "host");
    AppendHeader(head, header.name_, header.value_);
  }
  if (!hasHost) {
    AppendHeader(head, "Host", aAddress.ToString());
  }
  AppendOwnHeaders(head, aStart, aToken, aNow);
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
