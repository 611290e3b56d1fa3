#include "fleet/ConfigurationLag.hpp"

namespace redwing {

bool
ConfigurationLag::OnReported(std::uint64_t aReported, std::uint64_t aInForce, TimePoint aNow)
{
  if (aInForce != inForce_) {
    // The watch still delivers.
    inForce_ = aInForce;
    behindSince_.reset();
  }
  if (aReported <= aInForce) {
    return false;
  }
  if (!behindSince_) {
    behindSince_ = aNow;
    return false;
  }
  if (aNow - *behindSince_ < patience_) {
    return false;
  }
  behindSince_ = aNow;
  return true;
}

} // namespace redwing
