#include "routing/RouteTable.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr int kHexBase = 16;
constexpr int kDecimalDigits = 10;

int
HexValue(char aDigit)
{
  if (aDigit >= '0' && aDigit <= '9') {
    return aDigit - '0';
  }
  if (aDigit >= 'a' && aDigit <= 'f') {
    return aDigit - 'a' + kDecimalDigits;
  }
  if (aDigit >= 'A' && aDigit <= 'F') {
    return aDigit - 'A' + kDecimalDigits;
  }
  return -1;
}

std::optional<std::string>
PercentDecode(std::string_view aText)
{
  std::string decoded;
  decoded.reserve(aText.size());
  for (std::size_t i = 0; i < aText.size(); ++i) {
    if (aText[i] != '%') {
      decoded.push_back(aText[i]);
      continue;
    }
    if (i + 2 >= aText.size()) {
      return std::nullopt;
    }
    const int high = HexValue(aText[i + 1]);
    const int low = HexValue(aText[i + 2]);
    if (high < 0 || low < 0) {
      return std::nullopt;
    }
    decoded.push_back(static_cast<char>(high * kHexBase + low));
    i += 2;
  }
  return decoded;
}

std::string_view
WithoutTrailingSlash(std::string_view aPrefix)
{
  while (!aPrefix.empty() && aPrefix.back() == '/') {
    aPrefix.remove_suffix(1);
  }
  return aPrefix;
}

bool
AllowsMethod(const Route& aRoute, std::string_view aMethod)
{
  return aRoute.methods_.empty() ||
         std::find(aRoute.methods_.begin(), aRoute.methods_.end(), aMethod) !=
           aRoute.methods_.end();
}

} // namespace

RouteTable::RouteTable(std::shared_ptr<const ConfigurationRevision> aRevision)
  : revision_(std::move(aRevision))
{
  const Configuration& configuration = revision_->configuration_;
  for (const Workspace& workspace : configuration.workspaces_) {
    workspaces_.emplace(workspace.id_, &workspace);
  }
  for (const Route& route : configuration.routes_) {
    Add(route);
  }
}

void
RouteTable::Add(const Route& aRoute)
{
  RouteEntry entry;
  if (aRoute.split_.empty()) {
    entry = MakeEntry(aRoute);
  } else {
    for (const RouteTarget& target : aRoute.split_) {
      Route& part = parts_.emplace_back(aRoute);
      part.service_ = target.service_;
      entry.parts_.push_back(MakeEntry(part));
      if (entry.parts_.back().service_ == nullptr) {
        return;
      }
    }
    entry.route_ = &aRoute;
    entry.service_ = entry.parts_.front().service_;
    entry.openWorkspace_ = entry.parts_.front().openWorkspace_;
  }
  if (entry.service_ != nullptr) {
    auto& routes = byHost_[aRoute.host_].byPrefix_[WithoutTrailingSlash(aRoute.pathPrefix_)];
    routes.push_back(std::move(entry));
  }
}

RouteEntry
RouteTable::MakeEntry(const Route& aRoute) const
{
  const auto& services = revision_->configuration_.services_;
  const auto service = std::find_if(services.begin(), services.end(), [&](const Service& aService) {
    return aService.id_ == aRoute.service_;
  });
  return { &aRoute,
           service == services.end() ? nullptr : &*service,
           aRoute.open_ ? FindWorkspace(aRoute.openWorkspace_) : nullptr,
           {} };
}

const RouteEntry*
RouteTable::Match(std::string_view aMethod, std::string_view aPath, std::string_view aHost) const
{
  if (!aHost.empty()) {
    if (const auto routes = byHost_.find(aHost); routes != byHost_.end()) {
      if (const RouteEntry* entry = Match(routes->second, aMethod, aPath)) {
        return entry;
      }
    }
  }
  const auto routes = byHost_.find(std::string_view());
  return routes == byHost_.end() ? nullptr : Match(routes->second, aMethod, aPath);
}

const RouteEntry*
RouteTable::Match(const HostRoutes& aRoutes, std::string_view aMethod, std::string_view aPath)
{
  std::string_view prefix = WithoutTrailingSlash(aPath);
  while (true) {
    if (const auto found = aRoutes.byPrefix_.find(prefix); found != aRoutes.byPrefix_.end()) {
      for (const RouteEntry& entry : found->second) {
        // A prefix that ends with a slash does not match the path without it.
        if (aPath.starts_with(entry.route_->pathPrefix_) && AllowsMethod(*entry.route_, aMethod)) {
          return &entry;
        }
      }
    }
    const std::size_t slash = prefix.rfind('/');
    if (slash == std::string_view::npos) {
      return nullptr;
    }
    prefix = prefix.substr(0, slash);
  }
}

bool
RouteTable::Allows(const RouteEntry& aEntry, std::string_view aWorkspace)
{
  const auto& allowed = aEntry.route_->workspaces_;
  return allowed.empty() || std::find(allowed.begin(), allowed.end(), aWorkspace) != allowed.end();
}

const Workspace*
RouteTable::FindWorkspace(std::string_view aId) const
{
  const auto found = workspaces_.find(aId);
  return found == workspaces_.end() ? nullptr : found->second;
}

std::optional<std::string>
PathSegment(std::string_view aPath, std::uint32_t aIndex)
{
  if (aPath.empty() || aPath.front() != '/') {
    return std::nullopt;
  }
  aPath.remove_prefix(1);
  for (; aIndex > 0; --aIndex) {
    const std::size_t slash = aPath.find('/');
    if (slash == std::string_view::npos) {
      return std::nullopt;
    }
    aPath.remove_prefix(slash + 1);
  }
  auto decoded = PercentDecode(aPath.substr(0, aPath.find('/')));
  if (decoded && decoded->empty()) {
    return std::nullopt;
  }
  return decoded;
}

bool
HasDotSegment(std::string_view aPath)
{
  if (aPath.find('.') == std::string_view::npos && aPath.find('%') == std::string_view::npos) {
    return false;
  }
  while (!aPath.empty()) {
    const std::size_t slash = aPath.find('/');
    const auto segment = PercentDecode(aPath.substr(0, slash));
    if (segment && (*segment == "." || *segment == "..")) {
      return true;
    }
    if (slash == std::string_view::npos) {
      break;
    }
    aPath.remove_prefix(slash + 1);
  }
  return false;
}

} // namespace redwing
