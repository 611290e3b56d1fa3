#pragma once

#include "core/Clock.hpp"

#include <cstdint>
#include <string_view>

namespace redwing::Detail {

/// Fields of the log line of a routing decision.
struct RouteDecision
{
  std::string_view requestId_;
  std::string_view workspace_;
  std::string_view route_;
  std::string_view service_;
  /// Shard of a keyed service; negative for a pool.
  std::int64_t shard_ = -1;
  std::string_view target_;
  std::uint32_t attempt_ = 0;
  std::string_view reason_;
  /// From the arrival of the request.
  Duration age_{};
};

/// Fields of the log line of a request that got no answer from a backend server.
struct RefusedRequest
{
  std::string_view requestId_;
  std::string_view workspace_;
  /// Empty if no route was found.
  std::string_view route_;
  std::string_view code_;
  std::string_view outcome_;
  std::string_view detail_;
  std::uint32_t attempts_ = 0;
  /// From the arrival of the request.
  Duration age_{};
  std::uint64_t configurationRevision_ = 0;
};

/// Fields of the log line of a request whose caller left before it was answered.
struct AbandonedRequest
{
  std::string_view requestId_;
  std::string_view workspace_;
  /// Empty if no route was found.
  std::string_view route_;
  /// Attempts that were sent; with 0 no other instance has seen the request.
  std::uint32_t attempts_ = 0;
  /// From the arrival of the request.
  Duration age_{};
  /// Nothing was read from the connection before this request.
  bool firstOfConnection_ = false;
};

/// Fields of the log line of a request that is unanswered when the process ends.
struct UnansweredRequest
{
  std::string_view requestId_;
  /// Empty if no route was found.
  std::string_view route_;
  /// What the request waits for.
  std::string_view stage_;
  /// Instance to which the present attempt was sent; empty if there is none.
  std::string_view target_;
  std::uint32_t attempts_ = 0;
  /// From the arrival of the request, and from the sending of the present attempt.
  Duration age_{};
  Duration attemptAge_{};
  bool idempotent_ = false;
};

/// Writes log lines of routing decisions, refusals, abandoned and unanswered requests, each up to a
/// rate.
class RouteLog
{
public:
  RouteLog(const Clock& aClock, std::uint32_t aLinesPerSecond);

  /// Writes the line, or counts it as suppressed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Write(const RouteDecision& aDecision);

  /// Writes the line, or counts it as suppressed. Refusals have a budget of their own, so that
  /// routine lines do not crowd them out.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Write(const RefusedRequest& aRefused);

  /// Writes the line, or counts it as suppressed, within a budget of its own.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void Write(const AbandonedRequest& aAbandoned);

  /// Writes the line. The number of such lines is bounded by the number of open requests, and each
  /// of them tells of a request that failed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  static void Write(const UnansweredRequest& aUnanswered);

private:
  /// Lines of one kind in a second.
  struct Budget
  {
    std::uint32_t left_ = 0;
    TimePoint windowEnd_{};
    std::uint64_t suppressed_ = 0;
  };

  bool Take(Budget& aBudget);

  const Clock& clock_;
  std::uint32_t linesPerSecond_;
  Budget decisions_;
  Budget refusals_;
  Budget abandoned_;
};

} // namespace redwing::Detail
