#include "core/MemoryBudget.hpp"

#include <algorithm>
#include <string>
#include <utility>

namespace redwing {

namespace {

constexpr std::size_t kMegabyte = 1024 * 1024;
/// Program, libraries, configuration and routing state; an idle process has about 20 MB resident.
constexpr std::size_t kProcessBytes = 32 * kMegabyte;
/// The rest of the memory is held up to this part. The other part is for what the allocator keeps
/// and for bytes that are copied on their way, which are held twice for a moment.
constexpr std::size_t kHeldPart = 2;
/// A machine with less memory than the process itself needs still serves small requests.
constexpr std::size_t kLeastLimit = 4 * kMegabyte;

// Shares of the limit in per cent. Small requests are taken when large bodies wait already, and
// responses to accepted requests have the rest.
constexpr std::size_t kLargeBodyShare = 50;
constexpr std::size_t kSmallRequestShare = 75;
constexpr std::size_t kClosingShare = 90;

constexpr std::array<std::string_view, static_cast<std::size_t>(MemoryHolder::Count)> kHolderNames{
  "caller_connections",
  "request_bodies",
  "responses",
  "peer_requests",
  "peer_links"
};
constexpr std::array<std::string_view, static_cast<std::size_t>(MemoryAction::Count)> kActionNames{
  "request_refused",
  "peer_request_refused",
  "stalled_body_closed",
  "largest_holder_closed",
  "idle_connection_closed",
  "body_too_large",
  "timed_out"
};

std::size_t
LimitOf(std::uint64_t aMemoryBytes)
{
  if (aMemoryBytes == 0) {
    return 0;
  }
  const std::size_t rest = aMemoryBytes > kProcessBytes ? aMemoryBytes - kProcessBytes : 0;
  return std::max(rest / kHeldPart, kLeastLimit);
}

std::string
Label(std::string_view aKey, std::string_view aValue)
{
  return std::string(aKey) + "=\"" + std::string(aValue) + "\"";
}

} // namespace

MemoryBudget::MemoryBudget(std::uint64_t aMemoryBytes, CounterRegistry& aCounters)
  : limit_(LimitOf(aMemoryBytes))
{
  for (std::size_t i = 0; i < kHolders; ++i) {
    gauges_.at(i) =
      &aCounters.GetGauge("redwing_memory_held_bytes", Label("holder", kHolderNames.at(i)));
  }
  for (std::size_t i = 0; i < kActions; ++i) {
    actions_.at(i) =
      &aCounters.GetCounter("redwing_memory_actions_total", Label("action", kActionNames.at(i)));
  }
  aCounters.GetGauge("redwing_memory_limit_bytes").Set(static_cast<std::int64_t>(limit_));
}

bool
MemoryBudget::FitsIn(std::size_t aHeld, MemoryUse aUse) const
{
  const std::size_t share = aUse == MemoryUse::LargeBody ? kLargeBodyShare : kSmallRequestShare;
  return aHeld <= limit_ / 100 * share;
}

bool
MemoryBudget::Fits(std::size_t aBytes, MemoryUse aUse) const
{
  return !Limited() || FitsIn(Held() + aBytes, aUse);
}

bool
MemoryBudget::Exceeded() const
{
  return Limited() && Held() > limit_ / 100 * kClosingShare;
}

void
MemoryBudget::AddTo(MemoryHolder aHolder, std::size_t aDifference)
{
  const auto index = static_cast<std::size_t>(aHolder);
  const std::size_t held =
    heldBy_.at(index).fetch_add(aDifference, std::memory_order_relaxed) + aDifference;
  gauges_.at(index)->Set(static_cast<std::int64_t>(held));
}

bool
MemoryBudget::TryAdd(MemoryHolder aHolder, std::size_t aBytes, MemoryUse aUse)
{
  std::size_t held = Held();
  do {
    if (Limited() && !FitsIn(held + aBytes, aUse)) {
      return false;
    }
  } while (!held_.compare_exchange_weak(held, held + aBytes, std::memory_order_relaxed));
  AddTo(aHolder, aBytes);
  return true;
}

void
MemoryBudget::Change(MemoryHolder aHolder, std::size_t aFrom, std::size_t aTo)
{
  held_.fetch_add(aTo - aFrom, std::memory_order_relaxed);
  AddTo(aHolder, aTo - aFrom);
  if (aTo > aFrom && onExceeded_ && Exceeded()) {
    onExceeded_();
  }
}

void
MemoryBudget::Count(MemoryAction aAction)
{
  actions_.at(static_cast<std::size_t>(aAction))->Add();
}

void
HeldMemory::Set(std::size_t aBytes)
{
  if (aBytes != bytes_) {
    budget_.Change(holder_, std::exchange(bytes_, aBytes), aBytes);
  }
}

bool
HeldMemory::TrySet(std::size_t aBytes, MemoryUse aUse)
{
  if (aBytes <= bytes_) {
    Set(aBytes);
    return true;
  }
  if (!budget_.TryAdd(holder_, aBytes - bytes_, aUse)) {
    return false;
  }
  bytes_ = aBytes;
  return true;
}

} // namespace redwing
