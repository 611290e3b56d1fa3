#include "fleet/DepartedServers.hpp"

#include "fleet/ServerIncarnation.hpp"

#include <algorithm>

namespace redwing {

namespace {

constexpr std::size_t kMaxServers = 16;

} // namespace

void
DepartedServers::Add(const std::string& aServerId, std::uint64_t aTimeOfDayMs, TimePoint aNow)
{
  const auto present = departures_.find(aServerId);
  if (present != departures_.end() && present->second.lastStart_ >= aTimeOfDayMs) {
    return;
  }
  departures_.insert_or_assign(aServerId, Departure{ aTimeOfDayMs, aNow });
  if (departures_.size() > kMaxServers) {
    departures_.erase(std::min_element(
      departures_.begin(), departures_.end(), [](const auto& aOne, const auto& aOther) {
        return aOne.second.since_ < aOther.second.since_;
      }));
  }
}

void
DepartedServers::AddIncarnation(const std::string& aServerIncarnation, TimePoint aSince)
{
  if (const auto parts = SplitServerIncarnation(aServerIncarnation)) {
    Add(std::string(parts->serverId_), parts->startedAt_, aSince);
  }
}

std::optional<TimePoint>
DepartedServers::LeavingSince(std::string_view aServerIncarnation) const
{
  const auto parts = SplitServerIncarnation(aServerIncarnation);
  if (!parts) {
    return std::nullopt;
  }
  const auto departure = departures_.find(parts->serverId_);
  const bool concerned =
    departure != departures_.end() && parts->startedAt_ <= departure->second.lastStart_;
  return concerned ? std::optional(departure->second.since_) : std::nullopt;
}

} // namespace redwing
