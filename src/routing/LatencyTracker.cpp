#include "routing/LatencyTracker.hpp"

#include <algorithm>
#include <bit>

namespace redwing {

namespace {

/// Eight buckets per doubling bound the error of a quantile to an eighth of its value.
constexpr unsigned kBucketsPerDoubling = 8;
constexpr unsigned kSubBits = 3;
/// Counts are halved at this total, so that the histogram follows the last few hundred samples.
constexpr std::uint32_t kFadeAt = 1024;

std::size_t
BucketOf(std::uint64_t aMicros)
{
  if (aMicros < kBucketsPerDoubling) {
    return aMicros;
  }
  const unsigned exponent = static_cast<unsigned>(std::bit_width(aMicros)) - 1;
  const auto sub = (aMicros >> (exponent - kSubBits)) & (kBucketsPerDoubling - 1);
  return (exponent - kSubBits + 1) * kBucketsPerDoubling + sub;
}

std::uint64_t
UpperEdge(std::size_t aBucket)
{
  if (aBucket < kBucketsPerDoubling) {
    return aBucket + 1;
  }
  const std::size_t exponent = aBucket / kBucketsPerDoubling + kSubBits - 1;
  const std::size_t sub = aBucket % kBucketsPerDoubling;
  return (kBucketsPerDoubling + sub + 1) << (exponent - kSubBits);
}

} // namespace

void
LatencyTracker::Add(Duration aLatency)
{
  const auto micros = std::chrono::duration_cast<std::chrono::microseconds>(aLatency).count();
  const auto bucket = BucketOf(static_cast<std::uint64_t>(std::max<std::int64_t>(micros, 0)));
  ++counts_[std::min(bucket, kBuckets - 1)];
  if (++total_ < kFadeAt) {
    return;
  }
  total_ = 0;
  for (std::uint32_t& count : counts_) {
    count /= 2;
    total_ += count;
  }
}

Duration
LatencyTracker::Quantile(double aQuantile) const
{
  if (total_ == 0) {
    return Duration::zero();
  }
  const double wanted = aQuantile * total_;
  std::uint64_t seen = 0;
  std::size_t bucket = 0;
  for (; bucket < kBuckets; ++bucket) {
    seen += counts_[bucket];
    if (static_cast<double>(seen) >= wanted && seen > 0) {
      break;
    }
  }
  return std::chrono::microseconds(UpperEdge(std::min(bucket, kBuckets - 1)));
}

} // namespace redwing
