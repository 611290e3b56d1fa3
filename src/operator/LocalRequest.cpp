#include "operator/LocalRequest.hpp"

#include <algorithm>

namespace redwing::Detail {

std::optional<LocalTarget>
LocalTarget::Parse(std::string_view aTarget)
{
  if (!aTarget.starts_with('/') || aTarget.find('%') != std::string_view::npos) {
    return std::nullopt;
  }
  LocalTarget target;
  const std::size_t question = std::min(aTarget.find('?'), aTarget.size());
  target.path_ = std::string(aTarget.substr(0, question));
  std::string_view rest = aTarget.substr(std::min(question + 1, aTarget.size()));
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos ||
        !target.query_
           .emplace(std::string(pair.substr(0, equals)), std::string(pair.substr(equals + 1)))
           .second) {
      return std::nullopt;
    }
  }
  return target;
}

std::string
LocalTarget::Parameter(std::string_view aName) const
{
  const auto found = query_.find(aName);
  return found == query_.end() ? std::string() : found->second;
}

} // namespace redwing::Detail
