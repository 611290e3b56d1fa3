#include "config/RouteValidator.hpp"

#include <algorithm>
#include <cctype>
#include <set>

namespace redwing::Detail {

namespace {

bool
IsToken(std::string_view aText)
{
  constexpr std::string_view kPunctuation = "!#$%&'*+-.^_`|~";
  return !aText.empty() && std::all_of(aText.begin(), aText.end(), [&](unsigned char aByte) {
    return std::isalnum(aByte) != 0 ||
           kPunctuation.find(static_cast<char>(aByte)) != kPunctuation.npos;
  });
}

std::string
ToLower(std::string aText)
{
  for (char& character : aText) {
    character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
  }
  return aText;
}

/// Accepts `/` and segments of unreserved URI characters; a percent-encoded or relative segment
/// could name the same resource in two ways and so bypass the route that protects it.
bool
IsPathPrefix(std::string_view aPath)
{
  if (aPath == "/") {
    return true;
  }
  if (!aPath.starts_with('/') || aPath.ends_with('/')) {
    return false;
  }
  std::size_t begin = 1;
  while (begin <= aPath.size()) {
    const std::size_t end = std::min(aPath.find('/', begin), aPath.size());
    const std::string_view segment = aPath.substr(begin, end - begin);
    const bool unreserved = std::all_of(segment.begin(), segment.end(), [](unsigned char aByte) {
      return std::isalnum(aByte) != 0 || aByte == '-' || aByte == '.' || aByte == '_' ||
             aByte == '~';
    });
    if (segment.empty() || segment == "." || segment == ".." || !unreserved) {
      return false;
    }
    begin = end + 1;
  }
  return true;
}

std::size_t
CountSegments(std::string_view aPath)
{
  return aPath == "/" ? 0 : static_cast<std::size_t>(std::count(aPath.begin(), aPath.end(), '/'));
}

bool
MethodsOverlap(const Route& aLeft, const Route& aRight)
{
  return aLeft.methods_.empty() || aRight.methods_.empty() ||
         std::any_of(aLeft.methods_.begin(), aLeft.methods_.end(), [&](const std::string& aMethod) {
           return std::find(aRight.methods_.begin(), aRight.methods_.end(), aMethod) !=
                  aRight.methods_.end();
         });
}

} // namespace

RouteValidator::RouteValidator(const Configuration& aConfiguration,
                               const IdIndex& aWorkspaces,
                               const IdIndex& aServices,
                               Findings& aFindings)
  : configuration_(aConfiguration)
  , workspaces_(aWorkspaces)
  , services_(aServices)
  , findings_(aFindings)
{
}

void
RouteValidator::Run()
{
  for (std::size_t i = 0; i < configuration_.routes_.size(); ++i) {
    CheckPath(i);
    CheckMethods(i);
    CheckRoutingKey(i);
    CheckWorkspaces(i);
    CheckConflicts(i);
  }
}

void
RouteValidator::CheckPath(std::size_t aIndex)
{
  if (!IsPathPrefix(configuration_.routes_[aIndex].pathPrefix_)) {
    Report(aIndex,
           "pathPrefix",
           "must be \"/\" or segments of letters, digits, '-', '.', '_' and '~', each after '/'");
  }
}

void
RouteValidator::CheckMethods(std::size_t aIndex)
{
  const auto& methods = configuration_.routes_[aIndex].methods_;
  std::set<std::string> seen;
  for (std::size_t i = 0; i < methods.size(); ++i) {
    const std::string member = "methods/" + std::to_string(i);
    const bool upperCase =
      !methods[i].empty() &&
      std::all_of(methods[i].begin(), methods[i].end(), [](unsigned char aByte) {
        return std::isupper(aByte) != 0;
      });
    if (!upperCase) {
      Report(aIndex, member, "must be a method in capital letters");
    } else if (!seen.insert(methods[i]).second) {
      Report(aIndex, member, "duplicate");
    }
  }
}

void
RouteValidator::CheckRoutingKey(std::size_t aIndex)
{
  const Route& route = configuration_.routes_[aIndex];
  if (route.split_.empty()) {
    CheckTarget(aIndex, "service", route.service_);
  }
  for (std::size_t i = 0; i < route.split_.size(); ++i) {
    CheckTarget(aIndex, "split/" + std::to_string(i) + "/service", route.split_[i].service_);
  }
  if (route.keySource_ == KeySource::PathSegment &&
      route.keySegment_ < CountSegments(route.pathPrefix_)) {
    Report(aIndex, "key/segment", "lies within pathPrefix, which is the same for all requests");
  }
  if (route.keySource_ == KeySource::Header) {
    const std::string header = ToLower(route.keyHeader_);
    if (!IsToken(header)) {
      Report(aIndex, "key/header", "must be a header name");
    } else if (header == "authorization" || header == "cookie" || header.starts_with("redwing-")) {
      // A routing key appears in logs and is passed on; a credential must do neither.
      Report(aIndex, "key/header", "must not be a header that holds a credential or is reserved");
    }
  }
}

void
RouteValidator::CheckTarget(std::size_t aIndex,
                            std::string_view aMember,
                            const std::string& aService)
{
  const Route& route = configuration_.routes_[aIndex];
  const auto service = services_.find(aService);
  if (service == services_.end()) {
    Report(aIndex, aMember, "names no service");
    return;
  }
  const bool keyed = configuration_.services_[service->second].mode_ == ServiceMode::Keyed;
  if (keyed && route.keySource_ == KeySource::None) {
    Report(aIndex, "key", "is required, because the service is keyed");
  } else if (!keyed && route.keySource_ != KeySource::None && route.split_.empty()) {
    Report(aIndex, "key", "is not used, because the service is pooled");
  }
}

void
RouteValidator::CheckWorkspaces(std::size_t aIndex)
{
  const Route& route = configuration_.routes_[aIndex];
  if (route.open_ && !workspaces_.contains(route.openWorkspace_)) {
    Report(aIndex, "openWorkspace", "names no workspace");
  }
  if (!route.open_ && !route.openWorkspace_.empty()) {
    Report(aIndex, "openWorkspace", "is only for open routes");
  }
  if (route.open_ && !route.workspaces_.empty()) {
    Report(aIndex, "workspaces", "cannot restrict an open route");
  }
  std::set<std::string> seen;
  for (std::size_t i = 0; i < route.workspaces_.size(); ++i) {
    const std::string member = "workspaces/" + std::to_string(i);
    if (!workspaces_.contains(route.workspaces_[i])) {
      Report(aIndex, member, "names no workspace");
    } else if (!seen.insert(route.workspaces_[i]).second) {
      Report(aIndex, member, "duplicate");
    }
  }
}

void
RouteValidator::CheckConflicts(std::size_t aIndex)
{
  const Route& route = configuration_.routes_[aIndex];
  const auto [begin, end] = byPath_.equal_range(route.pathPrefix_);
  for (auto other = begin; other != end; ++other) {
    const Route& earlier = configuration_.routes_[other->second];
    if (route.host_ == earlier.host_ && MethodsOverlap(route, earlier)) {
      Report(aIndex,
             "pathPrefix",
             "conflicts with /routes/" + std::to_string(other->second) +
               ": same path and overlapping methods");
      break;
    }
  }
  byPath_.emplace(route.pathPrefix_, aIndex);
}

void
RouteValidator::Report(std::size_t aIndex, std::string_view aMember, std::string aMessage)
{
  findings_.push_back(
    { "/routes/" + std::to_string(aIndex) + "/" + std::string(aMember), std::move(aMessage) });
}

} // namespace redwing::Detail
