#include "fleet/ShardHolds.hpp"

#include "config/Configuration.hpp"
#include "fleet/ServerIncarnation.hpp"

#include <algorithm>
#include <utility>

namespace redwing {

using std::chrono::milliseconds;

namespace {

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

ShardHolds::ShardHolds(const Clock& aClock, std::string aInstanceId, ShardHoldSettings aSettings)
  : clock_(aClock)
  , instanceId_(std::move(aInstanceId))
  , settings_(aSettings)
  , startedAt_(aClock.Now())
  , earlierHoldsUntil_(startedAt_ + settings_.earlierHold_)
{
}

void
ShardHolds::SetTable(const std::string& aService, const ShardTable& aTable)
{
  std::lock_guard lock(mutex_);
  if (aService != service_ || !table_ || table_->Shards() != aTable.Shards()) {
    shards_.assign(aTable.Shards(), {});
    service_ = aService;
    // An earlier process of this instance may have granted any of the shards.
    holdsUntil_ = std::max(holdsUntil_, earlierHoldsUntil_);
    for (Shard& shard : shards_) {
      shard.held_ = true;
      shard.until_ = holdsUntil_;
    }
  }
  table_ = aTable;
}

void
ShardHolds::SetLeaseDeadline(TimePoint aDeadline, std::uint64_t aEpoch)
{
  std::lock_guard lock(mutex_);
  leaseDeadline_ = aDeadline;
  leaseEpoch_ = aEpoch;
}

bool
ShardHolds::SetServerIncarnation(const std::string& aServerIncarnation)
{
  std::lock_guard lock(mutex_);
  if (serverIncarnation_.empty() || aServerIncarnation == serverIncarnation_) {
    serverIncarnation_ = aServerIncarnation;
    return true;
  }
  Expire(clock_.Now());
  // What an earlier process granted concerns the run that the record names, and not the present
  // one.
  const bool granted = grantEnd_ != TimePoint{};
  if (IsRestartOf(aServerIncarnation, serverIncarnation_)) {
    std::vector<bool> ended(shards_.size());
    std::transform(shards_.begin(), shards_.end(), ended.begin(), [](const Shard& aShard) {
      return aShard.held_;
    });
    LogEnd(ended, HoldEnd::Restarted);
  } else if (granted && AnyHeld()) {
    return false;
  }
  serverIncarnation_ = aServerIncarnation;
  // The first heartbeat may be a delayed one. The run that comes after it may then be the one to
  // which an earlier process has granted shards.
  holdsUntil_ = granted ? TimePoint{} : earlierHoldsUntil_;
  shards_.assign(shards_.size(), {});
  for (Shard& shard : shards_) {
    shard.held_ = !granted;
    shard.until_ = holdsUntil_;
  }
  grantEnd_ = {};
  return true;
}

void
ShardHolds::LimitEarlierHold(milliseconds aLongest)
{
  std::lock_guard lock(mutex_);
  earlierHoldsUntil_ = std::min(earlierHoldsUntil_, startedAt_ + aLongest);
}

TimePoint
ShardHolds::EarlierHoldsUntil() const
{
  std::lock_guard lock(mutex_);
  return earlierHoldsUntil_;
}

milliseconds
ShardHolds::LongestHold() const
{
  std::lock_guard lock(mutex_);
  const Duration own = Scaled(settings_.longestHold_, 1 + settings_.clockDrift_);
  const bool earlierRuns = clock_.Now() < earlierHoldsUntil_;
  const Duration earlier = earlierRuns ? earlierHoldsUntil_ - startedAt_ : Duration::zero();
  return std::chrono::ceil<milliseconds>(std::max(own, earlier));
}

bool
ShardHolds::MayHold()
{
  std::lock_guard lock(mutex_);
  Expire(clock_.Now());
  return AnyHeld();
}

bool
ShardHolds::AnyHeld() const
{
  return std::any_of(
    shards_.begin(), shards_.end(), [](const Shard& aShard) { return aShard.held_; });
}

bool
ShardHolds::Owned(const ShardRun& aRun) const
{
  return aRun.holder_.instanceId_ == instanceId_ && !serverIncarnation_.empty() &&
         aRun.holder_.serverIncarnation_ == serverIncarnation_;
}

std::uint32_t
ShardHolds::FirstKey(std::uint32_t aShard) const
{
  // The smallest key that ShardOf maps to the shard.
  return static_cast<std::uint32_t>(
    (std::uint64_t{ aShard } * kNumericKeys + table_->Shards() - 1) / table_->Shards());
}

std::uint32_t
ShardHolds::LastKey(std::uint32_t aShard) const
{
  return FirstKey(aShard + 1) - 1;
}

std::uint32_t
ShardHolds::ShardOfKey(std::uint32_t aKey) const
{
  return static_cast<std::uint32_t>(std::uint64_t{ aKey } * table_->Shards() / kNumericKeys);
}

std::vector<bool>
ShardHolds::ShardsIn(const std::vector<HeldKeys>& aHolds) const
{
  std::vector<bool> held(shards_.size(), false);
  for (const HeldKeys& range : aHolds) {
    const std::uint32_t last = std::min(range.last_, kNumericKeys - 1);
    for (std::uint32_t shard = range.first_ <= last ? ShardOfKey(range.first_) : kNumericKeys;
         shard < held.size() && shard <= ShardOfKey(last);
         ++shard) {
      held[shard] = true;
    }
  }
  return held;
}

void
ShardHolds::Expire(TimePoint aNow)
{
  std::vector<bool> expired(shards_.size(), false);
  std::vector<bool> assumed(shards_.size(), false);
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    // Later grants of other shards do not extend the hold of this one.
    if (shard.held_ && aNow >= shard.until_) {
      (shard.token_ == 0 ? assumed : expired)[i] = true;
      shard.held_ = false;
      shard.granted_ = false;
    }
  }
  LogEnd(expired, HoldEnd::Expired);
  LogEnd(assumed, HoldEnd::Assumed);
}

void
ShardHolds::LogEnd(const std::vector<bool>& aEnded, HoldEnd aReason)
{
  std::vector<ShardRange> ranges;
  for (std::uint32_t i = 0; i < shards_.size(); ++i) {
    if (!aEnded[i]) {
      continue;
    }
    ++ended_[static_cast<std::size_t>(aReason)];
    const std::uint64_t token = shards_[i].token_;
    if (!ranges.empty() && ranges.back().last_ + 1 == i && ranges.back().token_ == token) {
      ranges.back().last_ = i;
    } else {
      ranges.push_back({ i, i, token });
    }
  }
  log_.OnEnd(serverIncarnation_, ranges, aReason);
}

void
ShardHolds::ApplyReport(const ServerHeartbeat& aHeartbeat)
{
  if (!aHeartbeat.reportsHolds_) {
    return;
  }
  const std::vector<bool> held = ShardsIn(aHeartbeat.holds_);
  std::vector<bool> released(shards_.size(), false);
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Shard& shard = shards_[i];
    shard.reported_ = shard.reported_ || held[i];
    // A server that has not read its grant yet reports nothing either.
    if (shard.held_ && !shard.granted_ && shard.reported_ && !held[i] &&
        shard.notGrantedSince_ > 0 && aHeartbeat.sequence_ > shard.notGrantedSince_) {
      shard.held_ = false;
      released[i] = true;
    }
  }
  LogEnd(released, HoldEnd::Released);
  for (const ReleasedKeys& range : aHeartbeat.released_) {
    const std::uint32_t last = std::min(range.last_, kNumericKeys - 1);
    for (std::uint32_t i = range.first_ <= last ? ShardOfKey(range.first_) : kNumericKeys;
         i < shards_.size() && i <= ShardOfKey(last);
         ++i) {
      shards_[i].handover_ = range.handover_;
    }
  }
}

HeartbeatReply
ShardHolds::OnHeartbeat(const ServerHeartbeat& aHeartbeat, TimePoint aArrivedAt)
{
  std::lock_guard lock(mutex_);
  HeartbeatReply reply;
  if (!table_ || serverIncarnation_.empty()) {
    // The server repeats its releases until a heartbeat with them is accepted.
    reply.accepted_ = aHeartbeat.released_.empty();
    return reply;
  }
  const TimePoint now = clock_.Now();
  Expire(now);
  ApplyReport(aHeartbeat);
  // The server measures the hold from when it sent the heartbeat, so the arrival is the latest
  // possible start.
  const Duration left = leaseDeadline_ - aArrivedAt;
  const Duration hold = std::min<Duration>(
    settings_.longestHold_, Scaled(left, 1 / (1 + settings_.clockDrift_)) - settings_.margin_);
  if (hold < settings_.shortestHold_) {
    log_.OnWithheld(serverIncarnation_, leaseDeadline_ - now, leaseEpoch_);
    return reply;
  }
  reply.holdFor_ = std::chrono::floor<milliseconds>(hold);
  const TimePoint until = now + Scaled(reply.holdFor_, 1 + settings_.clockDrift_);
  const std::vector<bool> held = ShardsIn(aHeartbeat.holds_);
  auto& grants = reply.grants_.emplace();
  std::vector<ShardRange> ranges;
  for (const ShardRun& run : table_->Runs()) {
    const bool grant = Owned(run) && run.successor_.empty();
    for (std::uint32_t i = run.first_; i <= run.last_; ++i) {
      Shard& shard = shards_[i];
      if (!grant) {
        if (shard.granted_ || shard.notGrantedSince_ == 0) {
          shard.notGrantedSince_ = aHeartbeat.sequence_;
        }
        shard.granted_ = false;
        continue;
      }
      if (!shard.granted_) {
        shard.grantedAt_ = now;
        shard.handover_.clear();
      }
      // A server that does not report the shard has not read this grant yet.
      shard.reported_ = shard.granted_ && shard.reported_ && held[i];
      shard.granted_ = true;
      shard.held_ = true;
      shard.until_ = std::max(shard.until_, until);
      shard.token_ = run.token_;
      shard.notGrantedSince_ = 0;
    }
    if (grant) {
      ranges.push_back({ run.first_, run.last_, run.token_ });
      // A server that already holds the shards does not need the previous holder's handover token.
      const std::string handover = held[run.first_] ? std::string() : run.handover_;
      grants.push_back({ FirstKey(run.first_), LastKey(run.last_), run.token_, handover });
    }
  }
  grantEnd_ = aArrivedAt + reply.holdFor_;
  holdsUntil_ = std::max(holdsUntil_, until);
  log_.OnGrant(
    serverIncarnation_,
    std::move(ranges),
    { aHeartbeat.sequence_, reply.holdFor_, holdsUntil_ - now, leaseDeadline_ - now, leaseEpoch_ });
  return reply;
}

bool
ShardHolds::AwaitsShards() const
{
  std::lock_guard lock(mutex_);
  if (!table_ || serverIncarnation_.empty()) {
    return false;
  }
  bool awaits = false;
  for (const ShardRun& run : table_->Runs()) {
    if (Owned(run) && !run.successor_.empty()) {
      return false;
    }
    awaits = awaits || run.successor_ == instanceId_;
  }
  return awaits;
}

bool
ShardHolds::HasNewShards() const
{
  std::lock_guard lock(mutex_);
  if (!table_ || serverIncarnation_.empty()) {
    return false;
  }
  const auto runs = table_->Runs();
  return std::any_of(runs.begin(), runs.end(), [&](const ShardRun& aRun) {
    return Owned(aRun) && aRun.successor_.empty() && !shards_[aRun.first_].granted_;
  });
}

std::vector<ReleasedShards>
ShardHolds::TakeReleased()
{
  std::lock_guard lock(mutex_);
  std::vector<ReleasedShards> released;
  if (!table_) {
    return released;
  }
  Expire(clock_.Now());
  for (const ShardRun& run : table_->Runs()) {
    if (!Owned(run) || run.successor_.empty()) {
      continue;
    }
    for (std::uint32_t i = run.first_; i <= run.last_; ++i) {
      const Shard& shard = shards_[i];
      if (shard.held_) {
        continue;
      }
      const bool joins = !released.empty() && released.back().last_ + 1 == i &&
                         released.back().successor_ == run.successor_ &&
                         released.back().handover_ == shard.handover_ && i != run.first_;
      if (joins) {
        released.back().last_ = i;
      } else {
        released.push_back({ i, i, run.successor_, shard.handover_ });
      }
    }
  }
  return released;
}

TimePoint
ShardHolds::HoldsUntil() const
{
  std::lock_guard lock(mutex_);
  return holdsUntil_;
}

HoldStatus
ShardHolds::Status() const
{
  std::lock_guard lock(mutex_);
  const TimePoint now = clock_.Now();
  HoldStatus status;
  status.leaseLeft_ = std::max(Duration::zero(), leaseDeadline_ - now);
  status.ended_ = ended_;
  for (const Shard& shard : shards_) {
    status.granted_ += shard.granted_ && now < grantEnd_ ? 1 : 0;
    if (shard.held_ && now < shard.until_) {
      ++status.held_;
      status.holdLeft_ = std::max(status.holdLeft_, shard.until_ - now);
    }
  }
  return status;
}

GateAnswer
ShardHolds::Check(const ShardId& aShard, TimePoint aNow) const
{
  std::lock_guard lock(mutex_);
  GateAnswer answer;
  if (!table_ || aShard.service_ != service_ || aShard.index_ >= shards_.size()) {
    return answer;
  }
  const ShardRun& run = table_->At(aShard.index_);
  const Shard& shard = shards_[aShard.index_];
  answer.token_ = run.token_;
  answer.owner_.id_ = run.successor_.empty() ? run.holder_.instanceId_ : run.successor_;
  answer.owned_ =
    shard.granted_ && aNow < grantEnd_ && aNow >= shard.grantedAt_ + settings_.grantDelay_;
  return answer;
}

void
ShardHolds::OnArrival(const ShardId& aShard)
{
  std::lock_guard lock(mutex_);
  if (aShard.service_ == service_ && aShard.index_ < shards_.size()) {
    ++shards_[aShard.index_].requests_;
  }
}

std::vector<std::pair<std::uint32_t, std::uint32_t>>
ShardHolds::TakeLoad()
{
  std::lock_guard lock(mutex_);
  std::vector<std::pair<std::uint32_t, std::uint32_t>> load;
  for (std::uint32_t i = 0; i < shards_.size(); ++i) {
    if (shards_[i].requests_ > 0) {
      load.emplace_back(i, std::exchange(shards_[i].requests_, 0));
    }
  }
  return load;
}

} // namespace redwing
