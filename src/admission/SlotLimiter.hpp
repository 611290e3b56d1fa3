#pragma once

#include "core/Clock.hpp"

#include <cstdint>

namespace redwing {

/// Adaptive limit on the requests that run at the backend server: additive increase while the limit
/// is used without sheds, multiplicative decrease on a shed, never above the announced slots.
class SlotLimiter
{
public:
  /// Sets the slots that the backend server announced.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetSlots(std::uint32_t aSlots);

  /// Sets a further upper bound, such as that of the cold-start ramp.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void SetCap(std::uint32_t aCap) { cap_ = aCap; }

  /// Takes a slot if one is free.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  bool TryAcquire();

  /// Returns a slot without saying anything about the backend server.
  ///
  /// Preconditions: a slot is held. Thread safety: not thread-safe.
  void Release();

  /// Raises the limit a little; called for each request that the server completed.
  ///
  /// Preconditions: called before Release. Thread safety: not thread-safe.
  void OnSuccess();

  /// Lowers the limit, at most once per kDecreaseInterval.
  ///
  /// Preconditions: none. Thread safety: not thread-safe.
  void OnShed(TimePoint aNow);

  std::uint32_t Running() const { return running_; }

  /// Returns the requests that may run now.
  ///
  /// Preconditions: none. Thread safety: callable from any thread that owns the object.
  std::uint32_t Limit() const;

private:
  std::uint32_t slots_ = 0;
  std::uint32_t cap_ = UINT32_MAX;
  std::uint32_t running_ = 0;
  double limit_ = 0;
  TimePoint lastDecrease_{};
};

} // namespace redwing
