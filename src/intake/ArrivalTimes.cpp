#include "intake/ArrivalTimes.hpp"

#include <algorithm>

namespace redwing::Detail {

void
ArrivalTimes::Add(std::size_t aBytes, TimePoint aAt)
{
  if (!parts_.empty() && parts_.back().at_ >= aAt) {
    parts_.back().bytes_ += aBytes;
  } else {
    parts_.push_back({ aBytes, aAt });
  }
}

TimePoint
ArrivalTimes::Consume(std::size_t aBytes)
{
  TimePoint at{};
  while (aBytes > 0) {
    Part& part = parts_.front();
    const std::size_t taken = std::min(aBytes, part.bytes_);
    at = part.at_;
    aBytes -= taken;
    part.bytes_ -= taken;
    if (part.bytes_ == 0) {
      parts_.pop_front();
    }
  }
  return at;
}

} // namespace redwing::Detail
