#include "ServedVersion.hpp"

namespace redwing::test {

namespace {

constexpr std::chrono::milliseconds kWork{ 20 };
constexpr unsigned kFailure = 500;

} // namespace

ServedVersion::ServedVersion(ExposureLog& aLog, bool aTarget, FaultPlan aPlan, std::uint64_t aSeed)
  : log_(aLog)
  , target_(aTarget)
  , plan_(aPlan)
  , random_(aSeed)
{
}

ServerReply
ServedVersion::Begin(const std::string& aPath, bool aRuns)
{
  const auto now = std::chrono::steady_clock::now();
  log_.OnArrival(target_, now);
  ServerReply reply{ 200, kWork };
  if (!aRuns) {
    return reply;
  }
  if (first_ == LogTime{}) {
    first_ = now;
  }
  ++running_;
  if (now - first_ >= plan_.from_) {
    reply.status_ = Fails(aPath) ? kFailure : reply.status_;
    reply.work_ *= plan_.slowness_;
  }
  return reply;
}

void
ServedVersion::End(const ServerReply& aReply)
{
  --running_;
  if (aReply.status_ == kFailure || aReply.work_ > kWork) {
    log_.OnBadAnswer(std::chrono::steady_clock::now());
  }
}

bool
ServedVersion::Fails(const std::string& aPath)
{
  const bool drawn = std::uniform_real_distribution(0.0, 1.0)(random_) < plan_.rate_;
  switch (plan_.fault_) {
    case Fault::Fails:
      return drawn;
    case Fault::FailsUnderLoad:
      return drawn && running_ > 1;
    case Fault::FailsOnRoute:
      return drawn && aPath.find(kBadRoute) != std::string::npos;
    default:
      return false;
  }
}

} // namespace redwing::test
