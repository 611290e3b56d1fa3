#include "intake/RequestHead.hpp"

#include "routing/RouteTable.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <vector>

namespace redwing::Detail {

namespace {

/// Owners of shards keep these keys in memory.
constexpr std::size_t kMaxIdempotencyKeyBytes = 255;
constexpr std::string_view kBearer = "Bearer ";
constexpr std::string_view kOwnPrefix = "redwing-";
constexpr std::array<std::string_view, 10> kHopByHop{
  "connection",
  "keep-alive",
  "proxy-connection",
  "proxy-authorization",
  "proxy-authenticate",
  "te",
  "transfer-encoding",
  "trailer",
  "upgrade",
  "content-length",
};

char
Lower(char aLetter)
{
  return aLetter >= 'A' && aLetter <= 'Z' ? static_cast<char>(aLetter - 'A' + 'a') : aLetter;
}

std::string_view
Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

std::vector<std::string>
ConnectionOptions(const HeaderList& aHeaders)
{
  std::vector<std::string> options;
  for (const Header& header : aHeaders) {
    if (!SameName(header.name_, "connection")) {
      continue;
    }
    std::string_view rest = header.value_;
    while (!rest.empty()) {
      const std::size_t comma = rest.find(',');
      options.emplace_back(Trim(rest.substr(0, comma)));
      rest = comma == std::string_view::npos ? std::string_view{} : rest.substr(comma + 1);
    }
  }
  return options;
}

const char*
TakeTarget(std::string&& aTarget, RequestHead& aHead)
{
  if (aTarget.empty() || aTarget.front() != '/') {
    return "the request target is not an absolute path";
  }
  aHead.target_ = std::move(aTarget);
  const std::size_t query = aHead.target_.find('?');
  aHead.pathBytes_ = std::min(query, aHead.target_.size());
  if (HasDotSegment(aHead.Path())) {
    return "the path has a dot segment";
  }
  if (query != std::string::npos) {
    const std::string cleaned =
      WithoutKeyParameters(std::string_view(aHead.target_).substr(query + 1));
    aHead.target_.resize(query);
    if (!cleaned.empty()) {
      aHead.target_.append("?").append(cleaned);
    }
  }
  return nullptr;
}

const char*
TakeAuthorization(const std::string& aValue, RequestHead& aHead)
{
  if (aHead.hasAuthorization_) {
    return "more than one Authorization header";
  }
  aHead.hasAuthorization_ = true;
  if (aValue.size() > kBearer.size() &&
      SameName(std::string_view(aValue).substr(0, kBearer.size()), kBearer)) {
    aHead.apiKey_ = Trim(std::string_view(aValue).substr(kBearer.size()));
  }
  return nullptr;
}

const char*
TakeOwnHeader(const Header& aHeader, RequestHead& aHead)
{
  if (!SameName(aHeader.name_, "redwing-timeout-ms")) {
    return nullptr;
  }
  std::uint32_t milliseconds = 0;
  const char* end = aHeader.value_.data() + aHeader.value_.size();
  const auto parsed = std::from_chars(aHeader.value_.data(), end, milliseconds);
  if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds == 0) {
    return "Redwing-Timeout-Ms is not a positive number";
  }
  aHead.timeout_ = std::chrono::milliseconds(milliseconds);
  return nullptr;
}

const char*
TakeHeader(Header&& aHeader, const std::vector<std::string>& aOptions, RequestHead& aHead)
{
  const std::string_view name = aHeader.name_;
  if (SameName(name, "authorization")) {
    return TakeAuthorization(aHeader.value_, aHead);
  }
  if (name.size() >= kOwnPrefix.size() && SameName(name.substr(0, kOwnPrefix.size()), kOwnPrefix)) {
    return TakeOwnHeader(aHeader, aHead);
  }
  if (SameName(name, "expect")) {
    aHead.expectsContinue_ = SameName(aHeader.value_, "100-continue");
    return aHead.expectsContinue_ ? nullptr : "unknown expectation";
  }
  const bool named = std::any_of(aOptions.begin(), aOptions.end(), [&](const std::string& aOption) {
    return SameName(aOption, name);
  });
  if (named || IsHopByHop(name)) {
    return nullptr;
  }
  if (SameName(name, "idempotency-key")) {
    if (!aHead.idempotencyKey_.empty()) {
      return "more than one Idempotency-Key header";
    }
    if (aHeader.value_.size() > kMaxIdempotencyKeyBytes) {
      return "the Idempotency-Key is too long";
    }
    aHead.idempotencyKey_ = aHeader.value_;
  }
  aHead.headers_.push_back(std::move(aHeader));
  return nullptr;
}

std::string
DecodedName(std::string_view aParameter)
{
  // PathSegment decodes percent-encoding; an undecodable name cannot be `key`.
  const auto decoded =
    PathSegment("/" + std::string(aParameter.substr(0, aParameter.find('='))), 0);
  return decoded.value_or(std::string{});
}

} // namespace

const char*
CleanHead(std::string&& aMethod, std::string&& aTarget, HeaderList&& aHeaders, RequestHead& aHead)
{
  aHead.method_ = std::move(aMethod);
  if (const char* fault = TakeTarget(std::move(aTarget), aHead)) {
    return fault;
  }
  const std::vector<std::string> options = ConnectionOptions(aHeaders);
  aHead.headers_.reserve(aHeaders.size());
  for (Header& header : aHeaders) {
    if (const char* fault = TakeHeader(std::move(header), options, aHead)) {
      return fault;
    }
  }
  if (!aHead.apiKey_.empty()) {
    // A caller that repeats its API key elsewhere must not reveal it to the backend server.
    if (aHead.target_.find(aHead.apiKey_) != std::string::npos) {
      return "the request target holds the API key";
    }
    std::erase_if(aHead.headers_, [&](const Header& aHeader) {
      return aHeader.value_.find(aHead.apiKey_) != std::string::npos;
    });
  }
  return nullptr;
}

std::string
WithoutKeyParameters(std::string_view aQuery)
{
  std::string kept;
  while (!aQuery.empty()) {
    const std::size_t end = aQuery.find('&');
    const std::string_view parameter = aQuery.substr(0, end);
    const std::string name = DecodedName(parameter);
    if (!parameter.empty() && !SameName(name, "key") && !SameName(name, "api_key")) {
      kept.append(kept.empty() ? "" : "&").append(parameter);
    }
    aQuery = end == std::string_view::npos ? std::string_view{} : aQuery.substr(end + 1);
  }
  return kept;
}

bool
SameName(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), [](char aOne, char aOther) {
           return Lower(aOne) == Lower(aOther);
         });
}

bool
IsHopByHop(std::string_view aName)
{
  return std::any_of(kHopByHop.begin(), kHopByHop.end(), [&](std::string_view aHop) {
    return SameName(aHop, aName);
  });
}

} // namespace redwing::Detail
