#pragma once

#include "intake/IntakeDependencies.hpp"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace redwing {

/// HTTP server for callers: authenticates requests, has them admitted, chooses where they run and
/// carries bodies both ways. All work happens on the thread that runs the io_context.
class IntakeService
{
public:
  explicit IntakeService(IntakeDependencies aDependencies);

  /// Closes every connection at once.
  ///
  /// Preconditions: no other thread runs the io_context, and no hook uses the service any more.
  ~IntakeService();
  IntakeService(const IntakeService&) = delete;
  IntakeService& operator=(const IntakeService&) = delete;

  /// Listens on the callers' address; returns the reason when that fails, or an empty text.
  ///
  /// Preconditions: called once. Thread safety: before the io_context runs, or on its thread.
  std::string Start();

  /// Returns the port that the service listens on.
  ///
  /// Preconditions: Start succeeded. Thread safety: as Start.
  std::uint16_t Port() const;

  /// Takes an event towards a caller. Its exchangeId is the attempt id of the RequestStart.
  ///
  /// Preconditions: none. Thread safety: intake thread only.
  void OnResponseEvent(ResponseEvent&& aEvent);

  /// Ends the attempts that run at aInstanceId as lost.
  ///
  /// Preconditions: none. Thread safety: intake thread only.
  void OnPeerDown(const std::string& aInstanceId);

  /// Stops accepting connections, answers the requests in progress and closes the connections, then
  /// calls aDone once. A request that cannot be answered by aAnswerBy and does not run yet is
  /// refused as not run, at aAnswerBy at the latest.
  ///
  /// Preconditions: Start succeeded; called once. Thread safety: intake thread only.
  void BeginShutdown(TimePoint aAnswerBy, std::function<void()> aDone);

  /// Writes a log line for each request that is unanswered, with what it waits for.
  ///
  /// Preconditions: none. Thread safety: intake thread only.
  void LogUnanswered() const;

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace redwing
