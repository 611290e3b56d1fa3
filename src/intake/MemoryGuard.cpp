#include "intake/MemoryGuard.hpp"

#include "core/Log.hpp"
#include "intake/CallerConnection.hpp"
#include "intake/IntakeCore.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

namespace redwing::Detail {

namespace {

constexpr std::chrono::milliseconds kResumeInterval{ 20 };
/// A body that got no byte for this long gives way to bodies that wait for its memory.
constexpr Duration kStalledBody = std::chrono::seconds(1);
/// Bytes a second below which a body gives way too: a byte now and then would keep its memory. The
/// largest legal body would take over four hours at this rate.
constexpr double kSlowBody = 4096;
/// A connection without a request is closed for another one only after this time, so that a caller
/// that has just connected can send its request.
constexpr Duration kIdleBeforeClose = std::chrono::milliseconds(500);
/// Closing connections that hold less frees too little for the callers that it costs.
constexpr std::size_t kLeastClosed = 32 * 1024;
constexpr Duration kLogInterval = std::chrono::seconds(1);

} // namespace

MemoryGuard::MemoryGuard(IntakeCore& aCore, Connections aConnections)
  : core_(aCore)
  , connections_(std::move(aConnections))
  , timer_(aCore.Dependencies().io_)
{
  core_.Memory().OnExceeded([this] {
    if (closeScheduled_.exchange(true)) {
      return;
    }
    // Posted, because the connection to be closed may be on the stack.
    boost::asio::post(timer_.get_executor(), [this, alive = std::weak_ptr<void>(alive_)] {
      if (!alive.expired()) {
        closeScheduled_ = false;
        CloseLargest();
      }
    });
  });
}

MemoryGuard::~MemoryGuard()
{
  core_.Memory().OnExceeded(nullptr);
}

void
MemoryGuard::Wait(std::weak_ptr<CallerConnection> aConnection)
{
  waiting_.push_back(std::move(aConnection));
  Arm();
}

void
MemoryGuard::Arm()
{
  if (std::exchange(armed_, true)) {
    return;
  }
  timer_.expires_after(kResumeInterval);
  timer_.async_wait(
    [this, alive = std::weak_ptr<void>(alive_)](const boost::system::error_code& aError) {
      if (!aError && !alive.expired()) {
        armed_ = false;
        Resume();
      }
    });
}

void
MemoryGuard::Resume()
{
  const TimePoint now = core_.Now();
  auto waiting = std::exchange(waiting_, {});
  for (const auto& connection : waiting) {
    if (const auto open = connection.lock()) {
      // A connection that must wait on calls Wait again.
      open->ResumeReading(now);
    }
  }
  if (!waiting_.empty()) {
    if (!CloseStalledBody(now)) {
      CloseIdle(true);
    }
    Arm();
  }
}

bool
MemoryGuard::CloseStalledBody(TimePoint aNow)
{
  std::shared_ptr<CallerConnection> worst;
  std::size_t most = 0;
  double slowest = kSlowBody;
  for (const auto& connection : connections_()) {
    const std::size_t held = connection->BodyBytesHeld();
    if (held > most && aNow - connection->BodySilentSince() > kStalledBody) {
      most = held;
      worst = connection;
    }
    const auto rate = connection->BodyRate(aNow);
    if (most == 0 && rate && *rate < slowest) {
      slowest = *rate;
      worst = connection;
    }
  }
  if (worst) {
    Report(MemoryAction::StalledBodyClosed,
           "a body stopped or came slowly while others wait for memory");
    worst->CloseAfterResponses();
  }
  return worst != nullptr;
}

void
MemoryGuard::CloseLargest()
{
  while (core_.Memory().Exceeded()) {
    const TimePoint now = core_.Now();
    std::shared_ptr<CallerConnection> worst;
    double most = 0;
    for (auto& connection : connections_()) {
      // Bytes times the time without a transfer: a large transfer that goes on is spared for longer
      // than a smaller one that stands still.
      const Duration silent = now - connection->LastTransfer() + std::chrono::milliseconds(1);
      const std::size_t held = connection->BytesHeld();
      const double weight =
        static_cast<double>(held) * std::chrono::duration<double>(silent).count();
      if (held >= kLeastClosed && weight > most) {
        most = weight;
        worst = std::move(connection);
      }
    }
    if (!worst) {
      return;
    }
    Report(MemoryAction::LargestHolderClosed, "the bytes held exceed their limit");
    worst->Close();
  }
}

bool
MemoryGuard::CloseIdle(bool aOnlyFresh)
{
  const TimePoint now = core_.Now();
  std::shared_ptr<CallerConnection> oldest;
  for (auto& connection : connections_()) {
    if ((aOnlyFresh && !connection->IsFresh()) || !connection->HasNoRequest() ||
        now - connection->LastTransfer() < kIdleBeforeClose) {
      continue;
    }
    const bool earlier = !oldest || (connection->IsFresh() && !oldest->IsFresh()) ||
                         (connection->IsFresh() == oldest->IsFresh() &&
                          connection->LastTransfer() < oldest->LastTransfer());
    if (earlier) {
      oldest = std::move(connection);
    }
  }
  if (!oldest) {
    return false;
  }
  Report(MemoryAction::IdleConnectionClosed, "an idle connection gives way");
  oldest->Close();
  return true;
}

void
MemoryGuard::Report(MemoryAction aAction, std::string_view aReason)
{
  MemoryBudget& memory = core_.Memory();
  memory.Count(aAction);
  const TimePoint now = core_.Now();
  if (lastLine_ != TimePoint{} && now - lastLine_ < kLogInterval) {
    ++suppressed_;
    return;
  }
  lastLine_ = now;
  LogLine(LogLevel::Warning, "caller_limited")
    .With("reason", aReason)
    .With("held_bytes", memory.Held())
    .With("limit_bytes", memory.Limit())
    .With("connections", connections_().size())
    .With("suppressed", std::exchange(suppressed_, 0));
}

} // namespace redwing::Detail
