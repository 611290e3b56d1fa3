#include "fleet/AllowancePools.hpp"

#include <boost/test/unit_test.hpp>

using namespace redwing;
using namespace std::chrono_literals;

namespace {

constexpr double kAllowance = 100;
constexpr WindowBudgetSettings kSettings{};

/// The pools of a leader with one reporting instance.
struct Leader
{
  explicit Leader(const std::optional<std::string>& aLedger, TimePoint aNow)
    : pools_(kSettings, [this] { return timeOfDay_; })
  {
    pools_.Begin(aLedger, aNow);
  }

  /// Reports aUsed used requests and unlimited demand; returns the total that the instance may use.
  double Report(std::uint64_t aIncarnation, std::uint32_t aUsed, TimePoint aNow)
  {
    BudgetUse use;
    use.committed_ = aUsed;
    use.wanted_ = kAllowance;
    use.held_ = aUsed;
    use.admitted_ = aUsed;
    return aUsed + pools_.OnReport("w", "a", aIncarnation, use, kAllowance, 1, 0, aNow);
  }

  std::optional<std::string> Store(TimePoint aNow)
  {
    const auto allowance = [](const std::string&) { return std::optional(kAllowance); };
    auto ledger = pools_.TakeLedger(allowance, aNow);
    if (ledger) {
      pools_.OnLedgerStored(true);
    }
    return ledger;
  }

  std::chrono::system_clock::time_point timeOfDay_{ 1000s };
  AllowancePools pools_;
};

/// Reports and stores ledgers until the instance has used aUsed; returns the last ledger.
std::string
UseUp(Leader& aLeader, std::uint32_t aUsed, TimePoint& aNow)
{
  std::optional<std::string> last;
  std::uint32_t used = 0;
  while (used < aUsed) {
    const double allowed = aLeader.Report(1, used, aNow);
    used = std::min(aUsed, static_cast<std::uint32_t>(allowed));
    aNow += 100ms;
    if (auto ledger = aLeader.Store(aNow)) {
      last = std::move(ledger);
    }
  }
  return last.value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(Ledgers)

// Guards against a leader that lends more than the limit in its stored ledger, because its
// successor would not know of the excess.
BOOST_AUTO_TEST_CASE(LendsNoMoreThanTheStoredLimit)
{
  TimePoint now{ 1h };
  Leader leader(std::nullopt, now);
  const double unrecorded = leader.Report(1, 0, now);
  BOOST_TEST(unrecorded > 0);
  BOOST_TEST(unrecorded <= kAllowance / 2);
  BOOST_TEST(leader.Report(1, static_cast<std::uint32_t>(unrecorded), now) == unrecorded);
  now += 100ms;
  BOOST_TEST(leader.Store(now).has_value());
  BOOST_TEST(leader.Report(1, static_cast<std::uint32_t>(unrecorded), now) > unrecorded);
}

// Guards against a new leader that lends again what a lost process has already used.
BOOST_AUTO_TEST_CASE(SuccessorCountsWhatLostProcessesUsed)
{
  TimePoint now{ 1h };
  Leader first(std::nullopt, now);
  const std::string ledger = UseUp(first, 90, now);
  now += 1s;
  Leader second(ledger, now);
  second.timeOfDay_ += 1s;
  second.pools_.Begin(ledger, now);
  second.pools_.EndInheritance(now);
  BOOST_TEST(second.Report(2, 0, now) <= kAllowance - 90);
  // After one window the use no longer counts.
  now += kSettings.window_ + 1s;
  second.Store(now);
  BOOST_TEST(second.Report(2, 0, now) > 0);
}

// Guards against treating a ledger as expired although its age is unknown because the time of day
// was changed.
BOOST_AUTO_TEST_CASE(LedgerOfUnknownAgeCountsInFull)
{
  TimePoint now{ 1h };
  Leader first(std::nullopt, now);
  const std::string ledger = UseUp(first, 90, now);
  for (const Duration jump : { Duration(-2400s), Duration(2400s) }) {
    Leader second(ledger, now);
    second.timeOfDay_ += std::chrono::duration_cast<std::chrono::system_clock::duration>(jump);
    second.pools_.Begin(ledger, now);
    second.pools_.EndInheritance(now);
    BOOST_TEST(second.Report(2, 0, now + 4s) <= kAllowance - 90);
  }
}

// Guards against a corrupt ledger in the store that crashes the process or lifts the limit.
BOOST_AUTO_TEST_CASE(DamagedLedgerLendsNoMoreThanIsRecorded)
{
  const TimePoint now{ 1h };
  const std::string latest = std::string(7, '\xff') + "\x7f" + std::string(4, '\0');
  for (const std::string& text :
       { std::string(), std::string("\x01\x02"), std::string(64, '\xff'), latest }) {
    Leader leader(text, now);
    BOOST_TEST(leader.Report(1, 0, now) <= kAllowance / 2);
  }
}

BOOST_AUTO_TEST_SUITE_END()
