#include "routing/MemberLoad.hpp"

#include <algorithm>

namespace redwing {

namespace {

/// A report loses its weight over this time; reports of a straggler are late and mislead.
constexpr Duration kReportLife = std::chrono::milliseconds(200);
/// Share of the newest sample in the fast-moving average.
constexpr int kRecentDivisor = 4;

} // namespace

void
MemberLoad::OnStart(std::uint64_t aAttemptId, TimePoint aNow, bool aLarge)
{
  largeSinceReport_ += aLarge ? 1 : 0;
  attempts_.push_back({ aAttemptId, aNow, true, aLarge });
  ++outstanding_;
  ++waiting_;
}

void
MemberLoad::OnResponse(std::uint64_t aAttemptId, TimePoint aNow)
{
  if (Attempt* attempt = Find(aAttemptId); attempt != nullptr && attempt->waiting_) {
    if (TellsSpeed(*attempt)) {
      AddSample(aNow - attempt->start_);
    }
    lastResult_ = { attempt->start_, aNow - attempt->start_, true };
    overtaken_ = 0;
    StopWaiting(*attempt);
  }
}

void
MemberLoad::OnEnd(std::uint64_t aAttemptId, TimePoint aNow, AttemptEnd aEnd)
{
  if (outstanding_ > 0) {
    --outstanding_;
  }
  if (Attempt* attempt = Find(aAttemptId); attempt != nullptr && attempt->waiting_) {
    const Duration age = aNow - attempt->start_;
    if (aEnd != AttemptEnd::Answered && age > recent_ && TellsSpeed(*attempt)) {
      AddSample(age);
    }
    overtaken_ += aEnd == AttemptEnd::Overtaken ? 1 : 0;
    // A refusal, or a caller that left, says nothing about the speed.
    if (aEnd == AttemptEnd::Overtaken || aEnd == AttemptEnd::Lost) {
      lastResult_ = { attempt->start_, age, false };
    }
    StopWaiting(*attempt);
  }
}

void
MemberLoad::OnReport(const LoadReport& aReport, TimePoint aNow)
{
  report_ = aReport;
  reportAt_ = aNow;
  largeSinceReport_ = 0;
}

double
MemberLoad::Score(double aSlots, TimePoint aNow) const
{
  double load = outstanding_;
  if (const Duration age = aNow - reportAt_; age < kReportLife) {
    const double fresh =
      1.0 - static_cast<double>(age.count()) / static_cast<double>(kReportLife.count());
    load += fresh * (report_.running_ + report_.queued_);
  }
  return load / aSlots;
}

double
MemberLoad::ExpectedTime(double aSlots, const UsualLoad& aUsual, TimePoint aNow) const
{
  const double service =
    report_.serviceTimeUs_ > 0 ? report_.serviceTimeUs_ : aUsual.serviceTimeUs_;
  // Own outstanding requests are part of a fresh report; the larger number is nearer the truth.
  const double load =
    std::max<double>(outstanding_, HasNews(aNow) ? Reported() : aUsual.perSlot_ * aSlots);
  // With a slot free a request runs at once; otherwise it waits for its turn. Servers that are
  // nearly full tend to slow down.
  const double rounds = std::max(0.0, (load + 1) / aSlots - 1);
  const double fill = std::min(1.0, load / aSlots);
  constexpr double kFullPenalty = 0.3;
  return service * (1 + rounds + kFullPenalty * fill);
}

double
MemberLoad::ExpectedLargeTime(double aSlots, const UsualLoad& aUsual, TimePoint aNow) const
{
  const double own = report_.byteTimeUs_ > 0 ? report_.byteTimeUs_ : aUsual.byteTimeUs_;
  double wait = aUsual.byteWaitUs_;
  if (HasNews(aNow)) {
    const double passed = std::chrono::duration<double, std::micro>(aNow - reportAt_).count();
    wait = std::max(0.0, report_.byteWaitUs_ + largeSinceReport_ * own - passed);
  }
  return std::max(ExpectedTime(aSlots, aUsual, aNow), wait) + own;
}

bool
MemberLoad::HasNews(TimePoint aNow) const
{
  return aNow - reportAt_ < kReportLife;
}

Duration
MemberLoad::WaitingAge(std::size_t aSkip, TimePoint aNow) const
{
  for (const Attempt& attempt : attempts_) {
    if (!attempt.waiting_) {
      continue;
    }
    if (aSkip == 0) {
      return aNow - attempt.start_;
    }
    --aSkip;
  }
  return Duration::zero();
}

MemberLoad::Attempt*
MemberLoad::Find(std::uint64_t aAttemptId)
{
  const auto found = std::lower_bound(
    attempts_.begin(), attempts_.end(), aAttemptId, [](const Attempt& aLeft, std::uint64_t aId) {
      return aLeft.id_ < aId;
    });
  return found != attempts_.end() && found->id_ == aAttemptId ? &*found : nullptr;
}

bool
MemberLoad::TellsSpeed(const Attempt& aAttempt) const
{
  // A large response waits for its turn on the member's link.
  return !aAttempt.large_ || report_.byteTimeUs_ == 0;
}

void
MemberLoad::AddSample(Duration aLatency)
{
  latencies_.Add(aLatency);
  recent_ += (aLatency - recent_) / kRecentDivisor;
}

void
MemberLoad::StopWaiting(Attempt& aAttempt)
{
  aAttempt.waiting_ = false;
  --waiting_;
  while (!attempts_.empty() && !attempts_.front().waiting_) {
    attempts_.pop_front();
  }
}

} // namespace redwing
