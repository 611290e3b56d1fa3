#include "fleet/GrantLog.hpp"

#include "core/Log.hpp"

#include <utility>

namespace redwing {

namespace {

constexpr std::size_t kMaxRanges = 8;

/// Adds the number of shards, the number of ranges and the first ranges as FIRST-LAST#TOKEN.
void
AddRanges(LogLine& aLine, std::span<const ShardRange> aRanges)
{
  std::uint64_t shards = 0;
  std::string text;
  for (std::size_t i = 0; i < aRanges.size(); ++i) {
    const ShardRange& range = aRanges[i];
    shards += range.last_ - range.first_ + 1;
    if (i < kMaxRanges) {
      text.append(i == 0 ? "" : ",").append(std::to_string(range.first_));
      text.append("-").append(std::to_string(range.last_));
      text.append("#").append(std::to_string(range.token_));
    }
  }
  aLine.With("shards", shards).With("ranges", aRanges.size()).With("rows", text);
}

} // namespace

std::int64_t
ToMilliseconds(Duration aDuration)
{
  return std::chrono::floor<std::chrono::milliseconds>(aDuration).count();
}

std::string_view
ToText(HoldEnd aReason)
{
  switch (aReason) {
    case HoldEnd::Expired:
      return "expired";
    case HoldEnd::Released:
      return "released";
    case HoldEnd::Restarted:
      return "restarted";
    case HoldEnd::Assumed:
      return "assumed";
  }
  return "unknown";
}

void
GrantLog::OnGrant(std::string_view aRun, std::vector<ShardRange> aRanges, const GrantTerms& aTerms)
{
  const bool resumed = std::exchange(withheld_, false);
  if (!resumed && aRun == run_ && aRanges == granted_) {
    return;
  }
  run_ = aRun;
  granted_ = std::move(aRanges);
  LogLine line(LogLevel::Info, "shards_granted");
  line.With("life", run_).With("sequence", aTerms.sequence_);
  AddRanges(line, granted_);
  line.With("hold_ms", aTerms.holdFor_.count())
    .With("latest_end_ms", ToMilliseconds(aTerms.latestEnd_))
    .With("lease_left_ms", ToMilliseconds(aTerms.leaseLeft_))
    .With("epoch", aTerms.epoch_);
}

void
GrantLog::OnWithheld(std::string_view aRun, Duration aLeaseLeft, std::uint64_t aEpoch)
{
  if (std::exchange(withheld_, true)) {
    return;
  }
  LogLine(LogLevel::Warning, "grants_withheld")
    .With("life", aRun)
    .With("lease_left_ms", ToMilliseconds(aLeaseLeft))
    .With("epoch", aEpoch);
}

void
GrantLog::OnEnd(std::string_view aRun, std::span<const ShardRange> aRanges, HoldEnd aReason)
{
  if (aRanges.empty()) {
    return;
  }
  LogLine line(LogLevel::Info, "hold_ended");
  line.With("life", aRun).With("reason", ToText(aReason));
  AddRanges(line, aRanges);
  if (aReason != HoldEnd::Released) {
    granted_.clear();
  }
}

} // namespace redwing
