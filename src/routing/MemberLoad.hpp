#pragma once

#include "core/Clock.hpp"
#include "exchange/Events.hpp"
#include "routing/LatencyTracker.hpp"

#include <cstdint>
#include <deque>

namespace redwing {

/// How an attempt ended.
enum class AttemptEnd : std::uint8_t
{
  /// With a response or a refusal.
  Answered,
  /// A hedge that started later answered first.
  Overtaken,
  /// The caller left, the deadline passed or the other attempt of a hedge answered first.
  Abandoned,
  /// The link to the member was lost, or the outcome is unknown.
  Lost,
};

/// The newest attempt of which the first response came or will not be waited for.
struct AttemptResult
{
  TimePoint start_{};
  Duration latency_{};
  bool answered_ = false;
};

/// What is usual among the members of a pool.
struct UsualLoad
{
  /// Service time in microseconds.
  double serviceTimeUs_ = 1;
  /// Requests that run or wait for each slot.
  double perSlot_ = 0;
  /// Times that links take for the large responses ahead and for one, in microseconds.
  double byteWaitUs_ = 0;
  double byteTimeUs_ = 0;
};

/// What the ingress knows about the load and speed of one pooled backend server.
class MemberLoad
{
public:
  /// Records an attempt that was sent; aLarge: its response is large.
  ///
  /// Preconditions: aAttemptId is greater than that of earlier attempts. Thread safety: not
  /// thread-safe.
  void OnStart(std::uint64_t aAttemptId, TimePoint aNow, bool aLarge = false);

  /// Records the first response of an attempt.
  ///
  /// Preconditions: OnStart was called with aAttemptId. Thread safety: not thread-safe.
  void OnResponse(std::uint64_t aAttemptId, TimePoint aNow);

  /// Records the end of an attempt. One without a response counts as a sample of its age when it
  /// is slower than the usual latency, because a server that never answers has no other samples.
  ///
  /// Preconditions: OnStart was called with aAttemptId. Thread safety: not thread-safe.
  void OnEnd(std::uint64_t aAttemptId, TimePoint aNow, AttemptEnd aEnd);

  /// Records a load report received at aNow.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnReport(const LoadReport& aReport, TimePoint aNow);

  /// Returns (own outstanding + aged report) / aSlots.
  ///
  /// Preconditions: aSlots > 0. Thread safety: not thread-safe.
  double Score(double aSlots, TimePoint aNow) const;

  /// Returns the time in which a further request would probably be answered, in microseconds;
  /// aUsual is assumed for a member that has not reported its service time, or its load of late.
  ///
  /// Preconditions: aSlots > 0. Thread safety: not thread-safe.
  double ExpectedTime(double aSlots, const UsualLoad& aUsual, TimePoint aNow) const;

  /// Returns the time in which a further request with a large response would probably be answered,
  /// in microseconds: the bytes ahead of it leave while it waits and runs, its own bytes after
  /// that.
  ///
  /// Preconditions: aSlots > 0. Thread safety: not thread-safe.
  double ExpectedLargeTime(double aSlots, const UsualLoad& aUsual, TimePoint aNow) const;

  /// Returns whether the last load report is recent enough to be believed.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool HasNews(TimePoint aNow) const;

  /// Returns the requests that ran or waited at the last report, whatever its age.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double Reported() const { return report_.running_ + report_.queued_; }

  /// Returns the reported service time in microseconds, 0 if it is not known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double ServiceTime() const { return report_.serviceTimeUs_; }

  /// Returns the times of bytes at the last report, in microseconds, 0 if they are not known.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  double ByteWait() const { return report_.byteWaitUs_; }
  double ByteTime() const { return report_.byteTimeUs_; }

  /// Returns the age of the oldest attempt without a response, apart from the aSkip oldest; zero if
  /// there is none.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  Duration WaitingAge(std::size_t aSkip, TimePoint aNow) const;

  /// Preconditions: none. Thread safety: not thread-safe.
  std::uint32_t Outstanding() const { return outstanding_; }
  /// Number of attempts without a response; long responses in progress do not count.
  std::uint32_t Waiting() const { return waiting_; }
  const LatencyTracker& Latencies() const { return latencies_; }
  /// Fast-moving average of the latest latencies.
  Duration Recent() const { return recent_; }
  /// Number of attempts in a row that a later hedge overtook. Hedging cancels slow attempts before
  /// they are old enough to stand out, so their latencies alone do not show a straggler.
  std::uint32_t Overtaken() const { return overtaken_; }
  const AttemptResult& LastResult() const { return lastResult_; }
  /// Replaces the average; used when an ejected server passed its trial.
  void ResetRecent(Duration aRecent)
  {
    recent_ = aRecent;
    overtaken_ = 0;
  }

private:
  struct Attempt
  {
    std::uint64_t id_;
    TimePoint start_;
    bool waiting_;
    bool large_;
  };

  Attempt* Find(std::uint64_t aAttemptId);
  /// Returns whether the time of an attempt is that of the server.
  bool TellsSpeed(const Attempt& aAttempt) const;
  void AddSample(Duration aLatency);
  void StopWaiting(Attempt& aAttempt);

  std::deque<Attempt> attempts_;
  std::uint32_t outstanding_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t overtaken_ = 0;
  LatencyTracker latencies_;
  Duration recent_{};
  AttemptResult lastResult_;
  LoadReport report_;
  TimePoint reportAt_{};
  /// Own attempts with large responses since the last report.
  std::uint32_t largeSinceReport_ = 0;
};

} // namespace redwing
