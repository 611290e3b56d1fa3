#include "routing/WithdrawalStart.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

WithdrawalStart::WithdrawalStart(std::string aDataCentre)
  : dataCentre_(std::move(aDataCentre))
{
}

void
WithdrawalStart::OnConfiguration(const ConfigurationRevision& aRevision, TimePoint aNotBefore)
{
  if (aRevision.revision_ == 0) {
    return;
  }
  const auto& centres = aRevision.configuration_.dataCentres_;
  const bool withdrawn =
    std::any_of(centres.begin(), centres.end(), [this](const DataCentre& aCentre) {
      return aCentre.id_ == dataCentre_ && aCentre.withdrawn_;
    });
  const bool first = !std::exchange(known_, true);
  if (!withdrawn) {
    earliest_.reset();
  } else if (!earliest_) {
    earliest_ = first ? TimePoint::min() : aNotBefore;
  }
}

} // namespace redwing
