#include "ExposureLog.hpp"

#include <algorithm>
#include <sstream>

namespace redwing::test {

namespace {

/// Number of bad answers after which a version must soon get no request.
constexpr std::size_t kBadAnswers = 50;

long
Ms(LogTime::duration aTime)
{
  return std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count();
}

} // namespace

void
ExposureLog::OnArrival(bool aTarget, LogTime aNow)
{
  std::lock_guard lock(mutex_);
  (aTarget ? target_ : old_).push_back(aNow);
}

void
ExposureLog::OnBadAnswer(LogTime aNow)
{
  std::lock_guard lock(mutex_);
  bad_.push_back(aNow);
}

void
ExposureLog::OnMisdirected()
{
  std::lock_guard lock(mutex_);
  ++misdirected_;
}

void
ExposureLog::OnOrder(LogTime aNow, std::chrono::milliseconds aDuration)
{
  std::lock_guard lock(mutex_);
  ordered_ = aNow;
  duration_ = aDuration;
}

void
ExposureLog::OnFailure(std::chrono::milliseconds aTime)
{
  std::lock_guard lock(mutex_);
  failure_ = aTime;
}

void
ExposureLog::OnState(const std::string& aState, LogTime aNow)
{
  std::lock_guard lock(mutex_);
  if (state_ != aState) {
    state_ = aState;
    stateAt_ = aNow;
  }
}

std::string
ExposureLog::State() const
{
  std::lock_guard lock(mutex_);
  return state_;
}

std::size_t
ExposureLog::CountBetween(const std::vector<LogTime>& aTimes, LogTime aFrom, LogTime aTo)
{
  return static_cast<std::size_t>(std::count_if(
    aTimes.begin(), aTimes.end(), [&](LogTime aTime) { return aTime >= aFrom && aTime <= aTo; }));
}

std::string
ExposureLog::WrongState(bool aBad) const
{
  LogTime end = ordered_ + duration_;
  bool wrong = state_ != (aBad ? "rolled_back" : "completed");
  if (failure_) {
    end += *failure_;
    wrong = aBad ? wrong : state_ != "completed" && state_ != "rolled_back";
  }
  if (!wrong && stateAt_ <= end) {
    return {};
  }
  return state_.empty() ? "there is no status"
                        : "the state is " + state_ + " since " +
                            std::to_string(Ms(stateAt_ - ordered_)) + " ms after the order";
}

std::vector<std::string>
ExposureLog::Violations(bool aBad, const ExposureBounds& aBounds) const
{
  std::lock_guard lock(mutex_);
  std::vector<std::string> found;
  const auto report = [&](const auto&... aParts) {
    std::ostringstream text;
    (text << ... << aParts);
    found.push_back(text.str());
  };
  const LogTime end = ordered_ + duration_;
  if (const std::string wrong = WrongState(aBad); !wrong.empty()) {
    report(wrong);
  }
  if (const auto early = CountBetween(target_, {}, ordered_); early > 0) {
    report(early, " requests at the target version before the order");
  }
  if (misdirected_ > 0) {
    report(misdirected_, " requests at another server than the one that they name");
  }
  if (state_ == "completed") {
    if (const auto late = CountBetween(old_, stateAt_, LogTime::max()); late > 0) {
      report(late, " requests at old servers after the end of the rollout");
    }
  }
  if (!aBad) {
    return found;
  }
  const LogTime last = std::max(end, stateAt_);
  const auto target = CountBetween(target_, ordered_, last);
  const auto all = target + CountBetween(old_, ordered_, last);
  if (static_cast<double>(target) > aBounds.share_ * static_cast<double>(all) + aBounds.slack_) {
    report(target, " of ", all, " requests at a bad version");
  }
  if (bad_.size() >= kBadAnswers) {
    const LogTime limit = bad_[kBadAnswers - 1] + aBounds.rollbackTime_;
    if (const auto late = CountBetween(target_, limit, LogTime::max()); late > 0) {
      report(late,
             " requests too late after the 50th bad answer, the last one ",
             Ms(target_.back() - bad_[kBadAnswers - 1]),
             " ms after it");
    }
  }
  return found;
}

std::string
ExposureLog::Summary() const
{
  std::lock_guard lock(mutex_);
  const LogTime end = ordered_ + duration_;
  std::ostringstream text;
  text << "state " << (state_.empty() ? "unknown" : state_) << " after "
       << (state_.empty() ? 0 : Ms(stateAt_ - ordered_)) << " ms of " << duration_.count()
       << ", target version " << CountBetween(target_, ordered_, end) << ", old version "
       << CountBetween(old_, ordered_, end) << " requests, " << bad_.size() << " bad answers";
  return text.str();
}

} // namespace redwing::test
