#pragma once

#include "core/Clock.hpp"

#include <array>
#include <chrono>
#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace redwing {

/// Why a run of a backend server holds shards no more.
enum class HoldEnd : std::uint8_t
{
  /// Its last grant has run out.
  Expired,
  /// It reported that it holds them no more.
  Released,
  /// The server has started again.
  Restarted,
  /// An earlier process of the instance may have granted them, and its grants have run out.
  Assumed,
};

/// All reasons, in the order of their values.
inline constexpr std::array kHoldEnds{
  HoldEnd::Expired,
  HoldEnd::Released,
  HoldEnd::Restarted,
  HoldEnd::Assumed,
};

/// Returns the whole milliseconds of aDuration, rounded down.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::int64_t ToMilliseconds(Duration aDuration);

/// Returns the name of a reason as it is logged.
///
/// Preconditions: none. Thread safety: callable from any thread.
std::string_view ToText(HoldEnd aReason);

/// Consecutive shards with the fencing token of their holder.
struct ShardRange
{
  std::uint32_t first_ = 0;
  std::uint32_t last_ = 0;
  std::uint64_t token_ = 0;

  bool operator==(const ShardRange&) const = default;
};

/// How long a grant lasts, and what allows it.
struct GrantTerms
{
  /// Sequence number of the heartbeat whose reply grants the shards.
  std::uint64_t sequence_ = 0;
  /// Measured by the server's clock from the sending of the heartbeat.
  std::chrono::milliseconds holdFor_{ 0 };
  /// Time until the latest end of the hold, by the clock of the instance.
  Duration latestEnd_{};
  /// Time until the lease that covers the hold may end, by the clock of the instance.
  Duration leaseLeft_{};
  /// Epoch of the store in which the lease was granted.
  std::uint64_t epoch_ = 0;
};

/// Logs what the local server is granted whenever that changes, and why its holds end. The lines
/// name a bounded number of ranges.
class GrantLog
{
public:
  /// Records that the reply to a heartbeat of aRun grants aRanges.
  ///
  /// Preconditions: none. Thread safety: not thread-safe, like all functions here.
  void OnGrant(std::string_view aRun, std::vector<ShardRange> aRanges, const GrantTerms& aTerms);

  /// Records that the reply to a heartbeat of aRun renews nothing since the lease ends too soon.
  ///
  /// Preconditions: none.
  void OnWithheld(std::string_view aRun, Duration aLeaseLeft, std::uint64_t aEpoch);

  /// Records that aRun holds aRanges no more; does nothing if aRanges is empty.
  ///
  /// Preconditions: none.
  void OnEnd(std::string_view aRun, std::span<const ShardRange> aRanges, HoldEnd aReason);

private:
  std::string run_;
  std::vector<ShardRange> granted_;
  bool withheld_ = false;
};

} // namespace redwing
