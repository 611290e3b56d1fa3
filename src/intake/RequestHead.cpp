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
TakeTarget(const HttpProtocol& aProtocol, std::string&& aTarget, RequestHead& aHead)
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
  if (query != std::string::npos && aProtocol.cleansQuery_) {
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
TakeApiKey(const HttpProtocol& aProtocol, const std::string& aValue, RequestHead& aHead)
{
  if (aHead.hasAuthorization_) {
    return "more than one header with an API key";
  }
  aHead.hasAuthorization_ = true;
  const std::string& scheme = aProtocol.apiKeyScheme_;
  if (scheme.empty()) {
    aHead.apiKey_ = Trim(aValue);
  } else if (aValue.size() > scheme.size() && aValue[scheme.size()] == ' ' &&
             SameName(std::string_view(aValue).substr(0, scheme.size()), scheme)) {
    aHead.apiKey_ = Trim(std::string_view(aValue).substr(scheme.size()));
  }
  return nullptr;
}

const char*
TakeTimeout(const Header& aHeader, RequestHead& aHead)
{
  std::uint32_t milliseconds = 0;
  const char* end = aHeader.value_.data() + aHeader.value_.size();
  const auto parsed = std::from_chars(aHeader.value_.data(), end, milliseconds);
  if (parsed.ec != std::errc{} || parsed.ptr != end || milliseconds == 0) {
    return "the timeout is not a positive number of milliseconds";
  }
  aHead.timeout_ = std::chrono::milliseconds(milliseconds);
  return nullptr;
}

bool
IsOwn(const HttpProtocol& aProtocol, std::string_view aName)
{
  const std::string_view prefix = aProtocol.ownPrefix_;
  if (!prefix.empty() && aName.size() >= prefix.size() &&
      SameName(aName.substr(0, prefix.size()), prefix)) {
    return true;
  }
  return std::any_of(aProtocol.ownHeaders_.begin(),
                     aProtocol.ownHeaders_.end(),
                     [&](const std::string& aOwn) { return SameName(aOwn, aName); });
}

const char*
TakeHeader(const HttpProtocol& aProtocol,
           Header&& aHeader,
           const std::vector<std::string>& aOptions,
           RequestHead& aHead)
{
  const std::string_view name = aHeader.name_;
  if (SameName(name, aProtocol.apiKeyHeader_)) {
    return TakeApiKey(aProtocol, aHeader.value_, aHead);
  }
  if (SameName(name, aProtocol.timeoutHeader_)) {
    return TakeTimeout(aHeader, aHead);
  }
  if (SameName(name, aProtocol.requestIdHeader_)) {
    if (aProtocol.callerChoosesId_) {
      aHead.requestId_ = aHeader.value_;
    }
    return nullptr;
  }
  if (IsOwn(aProtocol, name)) {
    return nullptr;
  }
  if (SameName(name, "host")) {
    aHead.host_ = HostName(aHeader.value_);
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
CleanHead(const HttpProtocol& aProtocol,
          std::string&& aMethod,
          std::string&& aTarget,
          HeaderList&& aHeaders,
          RequestHead& aHead)
{
  aHead.method_ = std::move(aMethod);
  if (const char* fault = TakeTarget(aProtocol, std::move(aTarget), aHead)) {
    return fault;
  }
  const std::vector<std::string> options = ConnectionOptions(aHeaders);
  aHead.headers_.reserve(aHeaders.size());
  for (Header& header : aHeaders) {
    if (const char* fault = TakeHeader(aProtocol, std::move(header), options, aHead)) {
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
HostName(std::string_view aHost)
{
  std::string name(aHost.substr(0, aHost.find(':')));
  std::transform(name.begin(), name.end(), name.begin(), Lower);
  return name;
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
