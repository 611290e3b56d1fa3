#pragma once

#include "core/Clock.hpp"

#include <cstdint>

namespace redwing {

/// Adaptive concurrency limit of a backend server (AIMD): additive increase while the limit is
/// reached without sheds, multiplicative decrease on a shed, never above the announced slots.
class SlotLimiter
{
public:
  /// Sets the number of slots that the backend server announced. A changed number resets the limit
  /// to it.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetSlots(std::uint32_t aSlots);

  /// Sets an additional upper bound, such as the limit of the cold-start ramp.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetCap(std::uint32_t aCap) { cap_ = aCap; }

  /// Acquires a slot and returns true, or returns false if none is free.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool TryAcquire();

  /// Releases a slot. The limit does not change.
  ///
  /// Preconditions: a slot is held. Thread safety: not thread-safe.
  void Release();

  /// Records a request that the server completed; raises the limit by a fraction if it was reached.
  ///
  /// Preconditions: called before Release. Thread safety: not thread-safe.
  void OnSuccess();

  /// Records a request that the server shed. Lowers the limit if most of it was in use, at most
  /// once per kDecreaseInterval.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnShed(TimePoint aNow);

  std::uint32_t Running() const { return running_; }

  /// Returns how many requests may run concurrently.
  ///
  /// Preconditions: none. Thread safety: call only from the thread that owns the object.
  std::uint32_t Limit() const;

private:
  std::uint32_t slots_ = 0;
  std::uint32_t cap_ = UINT32_MAX;
  std::uint32_t running_ = 0;
  double limit_ = 0;
  TimePoint lastDecrease_{};
};

} // namespace redwing
