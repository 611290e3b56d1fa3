#pragma once

#include "core/Counters.hpp"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

/// Accounting of the bytes that a process holds for others, and the shares of its memory at which
/// it takes no more.
namespace redwing {

/// What bytes are held for.
enum class MemoryHolder : std::uint8_t
{
  /// Buffers of callers' connections, heads included, and what the system holds unread for them.
  CallerConnections,
  /// Bodies of requests at the instance that received them from the caller.
  RequestBodies,
  /// Responses that callers have not taken yet.
  Responses,
  /// Requests of other instances that wait for the backend server or are sent to it.
  PeerRequests,
  /// Messages that wait on links to other instances.
  PeerLinks,
  Count,
};

/// What bytes are asked for; the shares at which they are refused rise in this order.
enum class MemoryUse : std::uint8_t
{
  /// A body that is large, or whose length is not known.
  LargeBody,
  /// A small body, a request head, or a request of another instance.
  SmallRequest,
};

/// Why a request or a connection was turned away.
enum class MemoryAction : std::uint8_t
{
  /// A request was refused as not run, because its body did not fit in time.
  RequestRefused,
  /// A request of another instance was refused as not run.
  PeerRequestRefused,
  /// A connection that held a body and sent nothing was closed for others that wait.
  StalledBodyClosed,
  /// A connection was closed because the bytes held exceeded their limit.
  LargestHolderClosed,
  /// A connection was closed so that another could be accepted.
  IdleConnectionClosed,
  /// A body over the limit was refused or its connection closed.
  BodyTooLarge,
  /// A head or body did not arrive in time, or a response was not read.
  TimedOut,
  Count,
};

/// The one place that decides how many bytes a process may hold. Reading of bodies stops first:
/// they wait until Fits allows them. Requests that waited too long are refused next. If responses
/// still exceed the limit, Exceeded tells to close connections.
///
/// Thread safety: all functions are callable from any thread unless they say otherwise.
class MemoryBudget
{
public:
  /// aMemoryBytes is the memory of the process; 0: no limit.
  MemoryBudget(std::uint64_t aMemoryBytes, CounterRegistry& aCounters);
  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// Returns whether there is a limit.
  ///
  /// Preconditions: none.
  bool Limited() const { return limit_ > 0; }

  /// Returns the most bytes that should be held; 0: no limit.
  ///
  /// Preconditions: none.
  std::size_t Limit() const { return limit_; }

  /// Returns the bytes that are held.
  ///
  /// Preconditions: none.
  std::size_t Held() const { return held_.load(std::memory_order_relaxed); }

  /// Returns whether aBytes more may be held for aUse.
  ///
  /// Preconditions: none.
  bool Fits(std::size_t aBytes, MemoryUse aUse) const;

  /// Returns whether so much is held that connections are to be closed.
  ///
  /// Preconditions: none.
  bool Exceeded() const;

  /// Changes the bytes of aHolder from aFrom to aTo; see HeldMemory.
  ///
  /// Preconditions: aFrom bytes of aHolder were added before.
  void Change(MemoryHolder aHolder, std::size_t aFrom, std::size_t aTo);

  /// Adds aBytes for aHolder if they fit; returns whether they did.
  ///
  /// Preconditions: none.
  bool TryAdd(MemoryHolder aHolder, std::size_t aBytes, MemoryUse aUse);

  /// Sets what is called whenever bytes are added while Exceeded holds, on the thread that adds
  /// them.
  ///
  /// Preconditions: aHook closes no connection before it returns. Thread safety: not while other
  /// threads use the budget.
  void OnExceeded(std::function<void()> aHook) { onExceeded_ = std::move(aHook); }

  /// Counts aAction.
  ///
  /// Preconditions: aAction is not Count.
  void Count(MemoryAction aAction);

private:
  static constexpr std::size_t kHolders = static_cast<std::size_t>(MemoryHolder::Count);
  static constexpr std::size_t kActions = static_cast<std::size_t>(MemoryAction::Count);

  bool FitsIn(std::size_t aHeld, MemoryUse aUse) const;
  /// Adds to the bytes of aHolder; a negative difference wraps around.
  void AddTo(MemoryHolder aHolder, std::size_t aDifference);

  std::size_t limit_;
  std::atomic<std::size_t> held_{ 0 };
  std::array<std::atomic<std::size_t>, kHolders> heldBy_{};
  std::array<Gauge*, kHolders> gauges_{};
  std::array<Counter*, kActions> actions_{};
  std::function<void()> onExceeded_;
};

/// Bytes that one object holds; given back when it goes away.
class HeldMemory
{
public:
  /// Preconditions: aBudget outlives this object.
  HeldMemory(MemoryBudget& aBudget, MemoryHolder aHolder)
    : budget_(aBudget)
    , holder_(aHolder)
  {
  }
  ~HeldMemory() { Set(0); }
  HeldMemory(const HeldMemory&) = delete;
  HeldMemory& operator=(const HeldMemory&) = delete;

  std::size_t Bytes() const { return bytes_; }

  /// Sets the number of bytes held.
  ///
  /// Preconditions: none. Thread safety: one thread per object.
  void Set(std::size_t aBytes);

  /// Sets the number of bytes if the additional ones fit; returns whether they did.
  ///
  /// Preconditions: none. Thread safety: one thread per object.
  bool TrySet(std::size_t aBytes, MemoryUse aUse);

private:
  MemoryBudget& budget_;
  MemoryHolder holder_;
  std::size_t bytes_ = 0;
};

} // namespace redwing
