#include "control/GossipLoop.hpp"

#include <algorithm>
#include <utility>
#include <variant>

namespace redwing {

namespace {

using std::chrono::milliseconds;

constexpr Duration kRoundInterval = milliseconds(100);
/// Instances that receive a round with items.
constexpr std::size_t kFanOut = 3;
/// Instances that receive a round without items. Such rounds still carry the confirmation of the
/// configuration. With a fan-out of two it reaches n instances in about log3(n) + ln(n) / 2 rounds,
/// which is 12 rounds for 4,000 instances and leaves half of the maximum age of a confirmation.
constexpr std::size_t kIdleFanOut = 2;
/// Maximum size of the items in one round. Together with the header and the watcher reports, the
/// datagram stays below 1,400 bytes.
constexpr std::size_t kMaxRoundBytes = 900;
/// Minimum time between two pulls. Digests also differ while facts are still in transit, and this
/// interval gives them time to arrive.
constexpr Duration kPullInterval = milliseconds(500);

} // namespace

GossipLoop::GossipLoop(const Clock& aClock,
                       Random& aRandom,
                       std::string aSelfId,
                       FleetState& aFleet,
                       ConfigurationKeeper& aKeeper,
                       SendRound aSendRound,
                       CallHook aCall)
  : clock_(aClock)
  , random_(aRandom)
  , selfId_(std::move(aSelfId))
  , fleet_(aFleet)
  , keeper_(aKeeper)
  , sendRound_(std::move(aSendRound))
  , call_(std::move(aCall))
{
}

void
GossipLoop::Tick()
{
  const TimePoint now = clock_.Now();
  if (now < nextRound_) {
    return;
  }
  nextRound_ = now + kRoundInterval;
  std::vector<std::string> targets = fleet_.GossipTargets();
  std::erase(targets, selfId_);
  Gossip& gossip = fleet_.GetGossip();
  gossip.SetFleetSize(targets.size() + 1);
  GossipRound round;
  round.items_ = gossip.TakeRound(kMaxRoundBytes);
  round.digest_ = gossip.Digest();
  round.reports_ = keeper_.Reports();
  round.configurationRevision_ = keeper_.Current()->revision_;
  const std::size_t fanOut = round.items_.empty() ? kIdleFanOut : kFanOut;
  for (std::size_t i = 0; i < fanOut && !targets.empty(); ++i) {
    const std::size_t pick = random_.Below(targets.size());
    sendRound_(targets[pick], round);
    targets.erase(targets.begin() + static_cast<std::ptrdiff_t>(pick));
  }
}

void
GossipLoop::OnRound(const InstanceRef& aFrom, const GossipRound& aRound)
{
  Gossip& gossip = fleet_.GetGossip();
  gossip.Merge(aRound.items_);
  keeper_.Merge(aRound.reports_);
  if (aRound.configurationRevision_ > keeper_.Current()->revision_ && !pullingConfiguration_) {
    PullConfiguration(aFrom.id_);
  }
  if (aRound.digest_ != gossip.Digest() && clock_.Now() >= nextPull_) {
    nextPull_ = clock_.Now() + kPullInterval;
    PullFacts(aFrom.id_);
  }
}

void
GossipLoop::PullFacts(const std::string& aFrom)
{
  call_(aFrom,
        GossipPull{ fleet_.GetGossip().BucketDigests() },
        [this](const ControlCallReply* aReply) {
          if (const auto* reply = aReply ? std::get_if<GossipPullReply>(aReply) : nullptr) {
            fleet_.GetGossip().MergePulled(reply->items_);
          }
        });
}

void
GossipLoop::PullConfiguration(const std::string& aFrom)
{
  pullingConfiguration_ = true;
  call_(aFrom, ConfigurationPull{}, [this](const ControlCallReply* aReply) {
    pullingConfiguration_ = false;
    if (const auto* reply = aReply ? std::get_if<ConfigurationPullReply>(aReply) : nullptr) {
      keeper_.Adopt(reply->revision_, reply->record_);
    }
  });
}

} // namespace redwing
