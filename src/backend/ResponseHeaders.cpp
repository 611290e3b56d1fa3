#include "backend/ResponseHeaders.hpp"

#include <boost/algorithm/string/predicate.hpp>

namespace redwing {

namespace {

constexpr std::uint16_t kStatusTimeout = 408;
constexpr std::uint16_t kStatusUnavailable = 503;

} // namespace

const std::string*
FindHeader(const HttpHead& aHead, std::string_view aName)
{
  for (const auto& header : aHead.headers_) {
    if (boost::algorithm::iequals(header.name_, aName)) {
      return &header.value_;
    }
  }
  return nullptr;
}

bool
ReportsNotRun(const HttpProtocol& aProtocol, const HttpHead& aHead)
{
  const std::string* notRun = FindHeader(aHead, aProtocol.notRunHeader_);
  if (aProtocol.notRunValue_.empty()) {
    return notRun != nullptr || aHead.status_ == kStatusMisdirected;
  }
  return aHead.status_ == kStatusUnavailable && notRun != nullptr &&
         *notRun == aProtocol.notRunValue_;
}

bool
PromisesNotRun(const HttpProtocol& aProtocol, std::uint16_t aStatus)
{
  return aProtocol.statusTellsOutcome_ &&
         (aStatus == kStatusUnavailable || aStatus == kStatusTooMany || aStatus == kStatusTimeout ||
          aStatus == kStatusMisdirected);
}

} // namespace redwing
