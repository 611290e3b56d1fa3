#pragma once

#include "fleet/JudgedRollout.hpp"
#include "fleet/RolloutCoordinator.hpp"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace redwing::test {

using namespace std::chrono_literals;

constexpr const char* kService = "desk";
constexpr double kExposureShare = 0.08;
constexpr double kExposureSlack = 30;

/// Decider with fixed times: judges by a number of failures of the target version.
class FakeDecider : public RolloutDecider
{
public:
  FakeDecider(const RolloutRecord& aRecord, TimePoint aOrderedAt)
    : end_(aOrderedAt + aRecord.order_.duration_)
    , orderedAt_(aOrderedAt)
  {
  }

  void Add(RolloutSide aSide, const RouteCounts& aDelta, TimePoint, bool) override
  {
    AddEarlier(aSide, aDelta);
  }

  void AddEarlier(RolloutSide aSide, const RouteCounts& aCounts) override
  {
    failures_ += aSide == RolloutSide::Target ? aCounts.failures_ : 0;
  }

  void Extend(const RolloutOrder& aOrder) override { end_ = orderedAt_ + aOrder.duration_; }

  RolloutDecision Next(const RolloutInput& aInput) override
  {
    const auto age = aInput.now_ - orderedAt_;
    RolloutDecision decision;
    decision.targets_ = 1;
    decision.arrivalLimit_ = static_cast<std::uint64_t>(
      kExposureShare * static_cast<double>(aInput.serviceRequests_) + kExposureSlack);
    if (failures_ >= 10 || aInput.now_ >= end_) {
      decision.phase_ = RolloutPhase::RolledBack;
      decision.reason_ = failures_ >= 10 ? "failures" : "time";
    } else if (aInput.targetServers_ == 0) {
      decision.reason_ = "no_target_server";
    } else if (age < 4s) {
      decision.phase_ = RolloutPhase::Canary;
      decision.share_ = kExposureShare;
    } else {
      decision.targets_ = aInput.targetServers_;
      decision.arrivalLimit_ = aInput.targetRequests_ + 5000;
      decision.share_ = age < 7s ? 0.5 : 1;
      // Too early, so that the coordinator has to refuse it.
      const bool closing = aInput.phase_ == RolloutPhase::Closing;
      decision.phase_ = age < 7s  ? RolloutPhase::Ramp
                        : closing ? RolloutPhase::Completed
                                  : RolloutPhase::Closing;
    }
    return decision;
  }

private:
  TimePoint end_;
  TimePoint orderedAt_;
  std::uint64_t failures_ = 0;
};

/// An instance with a server and the gate that keeps to what it is told.
struct Site
{
  std::string id_;
  std::string version_;
  std::uint64_t incarnation_ = 1;
  bool member_ = true;
  /// The leader and the instance do not reach each other.
  bool cut_ = false;
  bool bad_ = false;
  RolloutDirective directive_{};
  TimePoint permittedUntil_{};
  std::uint64_t arrivals_ = 0;
  std::uint64_t failures_ = 0;
  bool closed_ = false;

  bool Admits(TimePoint aNow) const
  {
    if (version_ == directive_.targetVersion_) {
      return directive_.phase_ == RolloutPhase::Completed ||
             (directive_.phase_ != RolloutPhase::RolledBack && aNow < permittedUntil_ &&
              arrivals_ < directive_.arrivalLimit_);
    }
    return !closed_;
  }

  void Follow(const RolloutDirective& aDirective, TimePoint aSentAt)
  {
    if (aSentAt == TimePoint{}) {
      return;
    }
    if (aDirective.orderRevision_ != directive_.orderRevision_) {
      arrivals_ = 0;
      failures_ = 0;
    }
    directive_ = aDirective;
    permittedUntil_ = aSentAt + std::chrono::milliseconds(aDirective.validForMs_);
    closed_ =
      version_ != aDirective.targetVersion_ &&
      (aDirective.phase_ == RolloutPhase::Closing || aDirective.phase_ == RolloutPhase::Completed);
  }
};

/// A service of several servers, a store and a leader, in steps of 50 ms. Ingresses send to the
/// target version whatever a gate admits, so that bounds must hold without their help.
struct RolloutFixture
{
  RolloutFixture()
  {
    for (const char* id : { "a", "b", "c" }) {
      sites_.push_back({ id, "v1" });
    }
    NewLeader();
  }

  void NewLeader(std::vector<RolloutDirective> aEnded = {})
  {
    leader_ = std::make_unique<RolloutCoordinator>(
      [this](const RolloutRecord& aRecord,
             TimePoint aOrderedAt) -> std::unique_ptr<RolloutDecider> {
        if (judged_) {
          return std::make_unique<JudgedRollout>(
            RolloutBounds{ true, 0.1, 50, 5s }, aRecord, aOrderedAt);
        }
        return std::make_unique<FakeDecider>(aRecord, aOrderedAt);
      },
      [this] { return std::chrono::system_clock::time_point(now_.time_since_epoch()); });
    leader_->SetOrders(orders_, now_);
    std::vector<RolloutRecord> records;
    if (record_) {
      records.push_back(*record_);
    }
    leader_->Begin(records, aEnded, now_);
    leaderSince_ = now_;
  }

  void Order(const char* aVersion, std::uint64_t aRevision, std::chrono::milliseconds aDuration)
  {
    orders_ = { { kService, aVersion, aDuration, aRevision } };
    leader_->SetOrders(orders_, now_);
  }

  void AddTargets(const char* aVersion = "v2", bool aBad = false)
  {
    for (const char* id : { "x", "y" }) {
      sites_.push_back({ std::string(id) + aVersion, aVersion, 1, true, false, aBad });
      // An instance knows of the order by itself.
      sites_.back().directive_.targetVersion_ = aVersion;
    }
  }

  Site& At(const std::string& aId)
  {
    return *std::find_if(
      sites_.begin(), sites_.end(), [&](const Site& aSite) { return aSite.id_ == aId; });
  }

  std::uint64_t Requests(const std::string& aVersion) const
  {
    std::uint64_t requests = 0;
    for (const Site& site : sites_) {
      requests += site.version_ == aVersion ? site.arrivals_ : 0;
    }
    return requests;
  }

  RolloutPhase Phase() const { return leader_->Find(kService)->Phase(); }
  RolloutPhase Stored() const { return record_ ? record_->phase_ : RolloutPhase::Waiting; }

  void Step()
  {
    now_ += 50ms;
    for (int i = 0; i < 20; ++i) {
      Send();
    }
    if (leader_) {
      Lead();
    }
    for (std::size_t i = 0; i < sites_.size(); ++i) {
      if ((now_.time_since_epoch() / 50ms + static_cast<long>(i)) % 10 == 0) {
        Report(sites_[i]);
      }
    }
    if (Stored() == RolloutPhase::Completed) {
      for (const Site& site : sites_) {
        completedWhileOpen_ =
          completedWhileOpen_ ||
          (site.member_ && !site.closed_ && site.version_ != record_->order_.targetVersion_);
      }
    }
  }

  template<typename Condition>
  bool RunUntil(Condition aCondition, std::chrono::milliseconds aLimit = 30s)
  {
    const TimePoint end = now_ + aLimit;
    while (!aCondition()) {
      if (now_ >= end) {
        return false;
      }
      Step();
    }
    return true;
  }

  void Run(std::chrono::milliseconds aTime)
  {
    RunUntil([] { return false; }, aTime);
  }

  bool RunToPhase(RolloutPhase aPhase)
  {
    return RunUntil([&] { return leader_->Find(kService) != nullptr && Phase() == aPhase; });
  }

  void Send()
  {
    for (const bool target : { true, false }) {
      for (Site& site : sites_) {
        const bool isTarget = site.version_ == "v2" || site.version_ == "v3";
        if (isTarget == target && site.member_ && site.Admits(now_)) {
          ++site.arrivals_;
          site.failures_ += site.bad_ ? 1 : 0;
          ++served_;
          return;
        }
      }
    }
    ++unserved_;
  }

  void Lead()
  {
    RolloutService service;
    for (const Site& site : sites_) {
      if (site.member_) {
        service.servers_.push_back({ site.id_, site.version_, {}, true, false });
      }
    }
    leader_->SetService(kService, service, now_);
    leader_->Step(now_);
    while (const auto record = leader_->TakeWrite()) {
      if (!storeDown_) {
        record_ = *record;
        ++writes_;
      }
      const bool lost = std::exchange(loseReply_, false);
      leader_->OnWrite(*record,
                       lost         ? RolloutWriteOutcome::Unknown
                       : storeDown_ ? RolloutWriteOutcome::NotWritten
                                    : RolloutWriteOutcome::Written);
      if (storeDown_ || lost) {
        break;
      }
    }
  }

  void Report(Site& aSite)
  {
    if (!leader_ || aSite.cut_ || !aSite.member_ || leader_->Find(kService) == nullptr) {
      return;
    }
    RolloutReport report;
    report.instanceId_ = aSite.id_;
    report.incarnation_ = aSite.incarnation_;
    ServerCounts& counts = report.counts_;
    counts.service_ = kService;
    counts.orderRevision_ = aSite.directive_.orderRevision_;
    counts.version_ = aSite.version_;
    counts.arrivals_ = aSite.arrivals_;
    counts.closed_ = aSite.closed_;
    counts.routes_.push_back({ "r", aSite.arrivals_, aSite.failures_, {} });
    counts.routes_.back().latencies_.at(5) =
      static_cast<std::uint32_t>(aSite.arrivals_ - aSite.failures_);
    for (const RolloutDirective& directive : leader_->OnReport(report, now_).directives_) {
      aSite.Follow(directive, now_);
    }
  }

  /// The real judge and ramp decide.
  bool judged_ = false;
  TimePoint now_{ 1000s };
  std::vector<Site> sites_;
  std::vector<RolloutOrder> orders_;
  std::optional<RolloutRecord> record_;
  std::unique_ptr<RolloutCoordinator> leader_;
  TimePoint leaderSince_{};
  bool storeDown_ = false;
  bool loseReply_ = false;
  bool completedWhileOpen_ = false;
  int writes_ = 0;
  std::uint64_t served_ = 0;
  std::uint64_t unserved_ = 0;
};

} // namespace redwing::test
