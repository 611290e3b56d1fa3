#include "daemon/Daemon.hpp"

#include "core/Log.hpp"
#include "operator/ClusterStatus.hpp"
#include "operator/ConfigurationOperations.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <map>
#include <set>
#include <utility>

namespace redwing {

namespace {

std::string
StateText(BackendState aState)
{
  switch (aState) {
    case BackendState::Ready:
      return "ready";
    case BackendState::Cold:
      return "cold";
    case BackendState::Draining:
      return "draining";
    case BackendState::Down:
      break;
  }
  return "down";
}

MemberStatus
ToMemberStatus(const Member& aMember, const std::map<std::string, StatusReply>& aReports)
{
  MemberStatus status;
  status.ref_ = aMember.ref_;
  status.dataCentre_ = aMember.dataCentre_;
  status.region_ = aMember.region_;
  status.rack_ = aMember.rack_;
  status.peersAddress_ = aMember.peersAddress_;
  status.service_ = aMember.service_;
  status.state_ = aMember.leaving_ ? "draining" : StateText(aMember.state_);
  status.slots_ = aMember.slots_;
  const auto report = aReports.find(aMember.ref_.id_);
  if (report != aReports.end()) {
    status.reachable_ = true;
    status.revision_ = report->second.configurationRevision_;
    status.leaseValid_ = report->second.leaseValid_;
    status.shards_ = report->second.shards_;
  }
  return status;
}

std::vector<MemberStatus>
ToMemberStatuses(const ControlStatus& aStatus)
{
  std::map<std::string, StatusReply> reports;
  for (const StatusReply& report : aStatus.reports_) {
    reports[report.ref_.id_] = report;
  }
  std::vector<MemberStatus> members;
  for (const Member& member : aStatus.members_) {
    members.push_back(ToMemberStatus(member, reports));
  }
  return members;
}

ClusterStatus
ToClusterStatus(const ControlStatus& aStatus, const RoutingView& aView)
{
  ClusterStatus cluster;
  cluster.revision_ = aStatus.self_.configurationRevision_;
  cluster.configurationCurrent_ = aStatus.self_.configurationCurrent_;
  cluster.storeReachable_ =
    std::any_of(aStatus.reports_.begin(), aStatus.reports_.end(), [](const StatusReply& aReport) {
      return aReport.storeReachable_;
    });
  cluster.members_ = ToMemberStatuses(aStatus);
  std::map<std::string, DataCentreStatus> dataCentres;
  for (const DataCentre& dataCentre : aView.configuration_->configuration_.dataCentres_) {
    dataCentres[dataCentre.id_] = { dataCentre.id_, dataCentre.withdrawn_, 0 };
  }
  for (const MemberStatus& member : cluster.members_) {
    DataCentreStatus& dataCentre = dataCentres[member.dataCentre_];
    dataCentre.id_ = member.dataCentre_;
    ++dataCentre.instances_;
    if (member.ref_ == aStatus.self_.ref_) {
      cluster.instance_ = member;
    }
  }
  for (auto& [id, dataCentre] : dataCentres) {
    cluster.dataCentres_.push_back(std::move(dataCentre));
  }
  return cluster;
}

std::vector<ShardStatus>
ToShardStatuses(const ControlStatus& aStatus, const RoutingView& aView, const std::string& aService)
{
  const auto service = aView.shards_.find(aService);
  if (service == aView.shards_.end()) {
    return {};
  }
  std::set<InstanceRef> present;
  for (const Member& member : aStatus.members_) {
    present.insert(member.ref_);
  }
  std::vector<ShardStatus> shards;
  for (std::size_t index = 0; index < service->second.rows_.size(); ++index) {
    ShardStatus shard{ service->second.rows_[index], "unassigned" };
    shard.row_.shard_ = { aService, static_cast<std::uint32_t>(index) };
    if (!shard.row_.owner_.Empty()) {
      shard.state_ = present.contains(shard.row_.owner_) ? "owned" : "waiting";
    }
    shards.push_back(std::move(shard));
  }
  return shards;
}

} // namespace

void
Daemon::BuildOperator()
{
  editor_ = std::make_unique<ConfigurationEditor>(
    *store_,
    clock_,
    seed_ + 2,
    [this](Duration aDelay, std::function<void()> aTask) {
      const auto timer =
        std::make_shared<boost::asio::steady_timer>(storeThread_.Context(), aDelay);
      timer->async_wait(
        [timer, task = std::move(aTask)](const boost::system::error_code&) { task(); });
    },
    ConfigurationEditor::Settings{},
    // An accepted change spreads from this instance even when the store goes down at once.
    [this](std::uint64_t aRevision, const std::string& aRecord, TimePoint aSentAt) {
      control_->AdoptConfiguration(aRevision, aRecord, aSentAt);
    });
  LocalHandlers handlers = Handlers();
  ConfigurationOperations(*editor_, [this](std::function<void()> aTask) {
    storeThread_.Context().post(std::move(aTask));
  }).Install(handlers);
  LocalServerSettings settings;
  settings.address_ = settings_.localAddress_;
  settings.operatorToken_ = settings_.operatorToken_;
  operator_ = std::make_unique<LocalServer>(
    operatorThread_.Context(), std::move(settings), std::move(handlers));
}

LocalHandlers
Daemon::Handlers()
{
  LocalHandlers handlers;
  handlers.announce_ = [this](BackendAnnouncement aAnnouncement, const LocalReplyCallback& aReply) {
    backend_->OnAnnounce(std::move(aAnnouncement));
    aReply(JsonReply("{}"));
  };
  handlers.leave_ = [this](const LocalReplyCallback& aReply) {
    backend_->OnLeave(clock_.Now());
    aReply(JsonReply("{}"));
  };
  handlers.metrics_ = [this](const LocalReplyCallback& aReply) {
    aReply({ 200, "text/plain; version=0.0.4", counters_.RenderText() });
  };
  handlers.health_ = [this](const LocalReplyCallback& aReply) {
    const auto view = view_.Get();
    const bool joined = !view->self_.Empty();
    aReply({ joined ? 200U : 503U,
             "application/json",
             joined ? R"({"status":"ok"})" : R"({"status":"joining"})" });
  };
  handlers.status_ = [this](LocalReplyCallback aReply) {
    control_->CollectStatus([this, reply = std::move(aReply)](const ControlStatus& aStatus) {
      reply(JsonReply(ClusterStatusWriter::Status(ToClusterStatus(aStatus, *view_.Get()))));
    });
  };
  handlers.members_ = [this](LocalReplyCallback aReply) {
    control_->CollectStatus([reply = std::move(aReply)](const ControlStatus& aStatus) {
      reply(JsonReply(ClusterStatusWriter::Members(ToMemberStatuses(aStatus))));
    });
  };
  handlers.shards_ = [this](std::string aService, LocalReplyCallback aReply) {
    control_->CollectStatus([this, service = std::move(aService), reply = std::move(aReply)](
                              const ControlStatus& aStatus) {
      const auto view = view_.Get();
      if (!view->shards_.contains(service)) {
        reply(ProblemReply(404, "no_such_service", "there is no keyed service of this name"));
        return;
      }
      reply(
        JsonReply(ClusterStatusWriter::Shards(service, ToShardStatuses(aStatus, *view, service))));
    });
  };
  handlers.drain_ = [this](const DrainRequest&, const LocalReplyCallback& aReply) {
    aReply({ 202, "application/json", "{}" });
    mainContext_.post([this] { BeginShutdown(); });
  };
  handlers.forceShard_ = [this](const ForceShardRequest& aRequest, LocalReplyCallback aReply) {
    control_->ForceShard(
      { aRequest.service_, aRequest.shard_ }, [reply = std::move(aReply)](bool aAccepted) {
        reply(aAccepted ? LocalReply{ 202, "application/json", "{}" }
                        : ProblemReply(409, "no_candidate", "no instance can take it"));
      });
  };
  return handlers;
}

} // namespace redwing
