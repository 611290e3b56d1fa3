#pragma once

#include "core/Random.hpp"
#include "ownership/OwnershipNode.hpp"
#include "ownership/OwnershipTable.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace redwing::test {

/// Probabilities per delivered message or per store call.
struct FaultRates
{
  double loss_ = 0.0;
  double duplicate_ = 0.0;
  double late_ = 0.0;
  double replyLost_ = 0.0;
  /// Per step: pause of the node that acted.
  double pause_ = 0.0;
  /// Per step: effects leave the node late, as if it was paused before sending.
  double lateEffects_ = 0.0;
};

/// Deterministic simulation of several OwnershipNodes, their clocks, the network and the store.
class Simulation
{
public:
  struct Node
  {
    class LocalClock final : public Clock
    {
    public:
      TimePoint Now() const override
      {
        const auto elapsed = static_cast<double>((*real_ - TimePoint{}).count());
        return TimePoint(offset_ + Duration(static_cast<Duration::rep>(elapsed * rate_)));
      }
      const TimePoint* real_ = nullptr;
      Duration offset_{};
      double rate_ = 1.0;
    };
    InstanceRef ref_;
    bool running_ = true;
    TimePoint pausedUntil_{};
    LocalClock clock_;
    std::unique_ptr<Random> random_;
    OwnershipTable table_;
    std::unique_ptr<OwnershipNode> node_;
    struct Cached
    {
      ShardRow row_;
      std::uint64_t revision_ = 0;
      bool valid_ = false;
    };
    std::map<ShardId, Cached> cache_;
    std::set<InstanceRef> dead_;
  };

  Simulation(std::uint64_t aSeed,
             std::size_t aNodes,
             std::size_t aShards,
             OwnershipSettings aSettings);

  /// Processes one event; returns false when an invariant is violated.
  bool Step();

  /// Processes events for aSpan of simulated time.
  bool Run(Duration aSpan);

  /// Runs until aDone or aLimit of simulated time; returns the time needed.
  std::optional<Duration> RunUntil(const std::function<bool()>& aDone, Duration aLimit);

  void Kill(const std::string& aId);
  void Restart(const std::string& aId);
  void Cut(const std::string& aFrom, const std::string& aTo, TimePoint aUntil);
  void HealAll();
  void SetStoreUp(bool aUp) { storeUp_ = aUp; }
  void SetRates(const FaultRates& aRates) { rates_ = aRates; }
  /// Sets the share of planner rounds that are followed by a kill, cut, pause or store outage.
  void SetFaultIntensity(double aIntensity) { intensity_ = aIntensity; }
  void SetChurn(bool aChurn) { churn_ = aChurn; }
  /// Lets some faults hit several instances at once: losses and pauses of neighbours, and cuts
  /// between groups.
  void SetGroupFaults(bool aOn) { groupFaults_ = aOn; }

  /// Has the planner assign shards and choose successors.
  void Plan();
  /// Lets the planner run by itself at intervals.
  void SetPlanner(bool aOn) { planner_ = aOn; }
  void SetPlannerMoves(bool aOn) { plannerMoves_ = aOn; }

  Node* Current(const std::string& aId);
  /// Returns the running node that owns the shard under a valid lease.
  Node* OwnerOf(std::size_t aShard);
  bool AllOwned();
  bool AllWithSuccessor();
  const std::vector<ShardId>& Shards() const { return shards_; }
  const std::vector<std::string>& Ids() const { return ids_; }
  TimePoint Now() const { return now_; }
  std::uint64_t Steps() const { return steps_; }
  const std::string& Violation() const { return violation_; }
  std::map<std::string, std::uint64_t>& Counts() { return counts_; }
  std::string Describe();

private:
  struct Event
  {
    TimePoint at_;
    std::uint64_t order_ = 0;
    /// Empty: not bound to a node.
    Node* node_ = nullptr;
    std::function<void()> run_;

    bool operator<(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : order_ > aOther.order_;
    }
  };
  struct StoredRow
  {
    ShardRow row_;
    std::uint64_t revision_ = 0;
  };

  void At(Duration aDelay, Node* aNode, std::function<void()> aRun);
  Duration Between(std::int64_t aLowUs, std::int64_t aHighUs);
  bool Chance(double aProbability);
  void Start(const std::string& aId);
  void ScheduleTick(Node* aNode);
  void Drain(Node* aNode);
  void Apply(Node* aNode, const Effect& aEffect);
  void Deliver(Node* aFrom, const SendMessage& aSend);
  void Commit(Node* aNode, const CommitRow& aCommit);
  void ApplyCommit(Node* aNode, const CommitRow& aCommit, std::uint64_t aRevision, bool aAnswer);
  void Answer(Node* aNode,
              std::uint64_t aOperation,
              CommitOutcome aOutcome,
              std::optional<ShardRow> aRow);
  void ReadStore(Node* aNode);
  std::vector<RingMember> Members();
  void SpreadMembers();
  void PlanAt(Node* aNode, std::size_t aShard);
  void Fault();
  void GroupFault();
  bool CheckInvariants();

  Random random_;
  OwnershipSettings settings_;
  TimePoint now_{};
  std::uint64_t order_ = 0;
  std::uint64_t steps_ = 0;
  std::uint64_t incarnation_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::string> ids_;
  std::vector<ShardId> shards_;
  /// Every incarnation that ever ran; ended ones are still checked until their leases end.
  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<std::string, Node*> current_;
  std::map<std::pair<std::string, std::string>, TimePoint> cuts_;
  std::map<ShardId, StoredRow> store_;
  bool storeUp_ = true;
  bool churn_ = false;
  bool groupFaults_ = false;
  double intensity_ = 1.0;
  bool planner_ = true;
  bool plannerMoves_ = false;
  FaultRates rates_;
  std::map<std::pair<ShardId, std::uint64_t>, InstanceRef> tokens_;
  std::map<std::string, std::uint64_t> counts_;
  std::string violation_;
};

} // namespace redwing::test
