#include "control/ControlService.hpp"
#include "control/EntryCodec.hpp"
#include "core/Hash.hpp"
#include "core/Log.hpp"

#include <algorithm>
#include <memory>
#include <utility>

namespace redwing {

namespace {

using std::chrono::milliseconds;

/// Timeout for replicating one entry. The request is dispatched only after the acknowledgement.
constexpr Duration kReplicateTimeout = milliseconds(100);
/// Timeout for replicating all entries of a shard to a new successor.
constexpr Duration kPushTimeout = std::chrono::seconds(2);
/// Time after a change of limits by which every instance applies the new limits, so that no
/// previous owner of a bucket can still have granted slices under the old ones.
constexpr Duration kLimitsPropagationTime = std::chrono::seconds(10);
constexpr Duration kStatusTimeout = milliseconds(700);
/// Maximum payload of a GossipPull reply; it stays below the maximum frame size of a peer link.
constexpr std::size_t kMaxPullReplyBytes = 512 * 1024;

} // namespace

void
ControlService::OnDatagram(std::string_view aBytes)
{
  bytesReceived_.Add(aBytes.size());
  const auto received = codec_.DecodeDatagram(aBytes);
  if (!received) {
    datagramsRejected_.Add();
    return;
  }
  if (!joined_) {
    return;
  }
  std::visit([&](const auto& aDatagram) { Handle(received->from_, aDatagram); },
             received->datagram_);
}

void
ControlService::Handle(const InstanceRef& aFrom, const OwnershipDatagram& aDatagram)
{
  driver_.Receive(aFrom, aDatagram.to_, aDatagram.message_);
}

void
ControlService::Handle(const InstanceRef& aFrom, const GossipRound& aRound)
{
  gossip_.OnRound(aFrom, aRound);
}

void
ControlService::Handle(const InstanceRef& aFrom, const SliceRequest& aRequest)
{
  SendDatagram(aFrom.id_, shares_.OnRequest(aFrom.id_, aRequest, clock_.Now()));
}

void
ControlService::Handle(const InstanceRef&, const SliceReply& aReply)
{
  hooks_.onSliceReply_(aReply);
}

void
ControlService::Handle(const InstanceRef& aFrom, const SliceReport& aReport)
{
  shares_.OnReport(aFrom.id_, aReport, clock_.Now());
}

void
ControlService::Handle(const InstanceRef&, const BucketHandoff& aHandoff)
{
  handoffs_[aHandoff.shard_] = aHandoff;
}

void
ControlService::OnGained(const ShardId& aShard, std::uint64_t aToken)
{
  const auto handoff = handoffs_.extract(aShard);
  if (!handoff.empty() && handoff.mapped().token_ + 1 == aToken) {
    shares_.Continue(handoff.mapped().buckets_, clock_.Now());
  }
  if (aShard.service_ == kShareService) {
    PrepareShares();
  }
}

void
ControlService::OnLost(const ShardId& aShard, std::uint64_t aToken, const InstanceRef& aSuccessor)
{
  if (aShard.service_ != kShareService) {
    return;
  }
  const auto belongs = [&](std::string_view aWorkspace) {
    return ShareShard(aWorkspace) == aShard;
  };
  const auto buckets = shares_.Release(belongs, clock_.Now());
  if (!aSuccessor.Empty()) {
    SendDatagram(aSuccessor.id_, BucketHandoff{ aShard, aToken, buckets });
  }
}

void
ControlService::SendSlice(SliceRequest aRequest)
{
  Post([this, request = std::move(aRequest)] {
    const std::string owner = ShareOwnerId(request.workspace_);
    if (owner.empty()) {
      SliceReply reply;
      reply.workspace_ = request.workspace_;
      reply.requestId_ = request.requestId_;
      reply.owner_ = false;
      hooks_.onSliceReply_(reply);
    } else if (owner == self_.id_) {
      hooks_.onSliceReply_(shares_.OnRequest(self_.id_, request, clock_.Now()));
    } else {
      SendDatagram(owner, request);
    }
  });
}

void
ControlService::SendSlice(SliceReport aReport)
{
  Post([this, report = std::move(aReport)] {
    const std::string owner = ShareOwnerId(report.workspace_);
    if (owner == self_.id_) {
      shares_.OnReport(self_.id_, report, clock_.Now());
    } else if (!owner.empty()) {
      SendDatagram(owner, report);
    }
  });
}

void
ControlService::SendDatagram(const std::string& aInstanceId, const ControlDatagram& aDatagram)
{
  const auto address = fleet_.AddressOf(aInstanceId);
  if (!address) {
    return;
  }
  const std::string bytes = codec_.EncodeDatagram(self_, aDatagram);
  bytesSent_.Add(bytes.size());
  socket_.Send(*address, bytes);
}

void
ControlService::CallInstance(const std::string& aInstanceId,
                             const ControlCall& aCall,
                             Duration aTimeout,
                             GossipLoop::CallDone aDone)
{
  const auto address = fleet_.AddressOf(aInstanceId);
  if (!address) {
    aDone(nullptr);
    return;
  }
  std::string payload = ControlCodec::Encode(aCall);
  bytesSent_.Add(payload.size());
  hooks_.call_(aInstanceId,
               *address,
               std::move(payload),
               aTimeout,
               [this, done = std::move(aDone)](bool aAnswered, std::string aReply) {
                 Post([this, done, aAnswered, reply = std::move(aReply)] {
                   bytesReceived_.Add(reply.size());
                   const auto decoded = aAnswered ? ControlCodec::DecodeReply(reply) : std::nullopt;
                   done(decoded ? &*decoded : nullptr);
                 });
               });
}

void
ControlService::OnCall(InstanceRef aFrom,
                       std::string aPayload,
                       std::function<void(std::string)> aReply)
{
  Post([this, from = std::move(aFrom), payload = std::move(aPayload), reply = std::move(aReply)] {
    bytesReceived_.Add(payload.size());
    const auto call = ControlCodec::DecodeCall(payload);
    if (!call) {
      LogLine(LogLevel::Warning, "call_malformed").With("from", from.id_);
      reply(ControlCodec::Encode(ControlCallReply{}));
      return;
    }
    Answer(*call, [this, reply](std::string aBytes) {
      bytesSent_.Add(aBytes.size());
      reply(std::move(aBytes));
    });
  });
}

void
ControlService::Answer(const ControlCall& aCall, const std::function<void(std::string)>& aReply)
{
  if (const auto* pull = std::get_if<GossipPull>(&aCall)) {
    aReply(ControlCodec::Encode(ControlCallReply{ GossipPullReply{
      fleet_.GetGossip().ItemsDiffering(pull->buckets_, random_.Bits(), kMaxPullReplyBytes) } }));
  } else if (std::holds_alternative<ConfigurationPull>(aCall)) {
    aReply(ControlCodec::Encode(ControlCallReply{
      ConfigurationPullReply{ keeper_.Current()->revision_, keeper_.Record() } }));
  } else if (const auto* push = std::get_if<IdempotencyPush>(&aCall)) {
    auto entries = DecodeEntries(push->entries_, clock_.Now());
    if (!entries) {
      aReply(ControlCodec::Encode(ControlCallReply{ IdempotencyPushReply{ false } }));
      return;
    }
    hooks_.importEntries_(std::move(*entries), [aReply] {
      aReply(ControlCodec::Encode(ControlCallReply{ IdempotencyPushReply{ true } }));
    });
  } else {
    aReply(ControlCodec::Encode(ControlCallReply{ OwnStatus() }));
  }
}

void
ControlService::Replicate(IdempotencyEntry aEntry, std::function<void(bool)> aDone)
{
  Post([this, entry = std::move(aEntry), done = std::move(aDone)] {
    const ShardId shard = entry.key_.shard_;
    const auto target = driver_.ReplicationTarget(shard);
    if (!target) {
      done(true);
      return;
    }
    SendEntries(*target,
                EncodeEntries(std::span(&entry, 1), clock_.Now()),
                kReplicateTimeout,
                [this, shard, target, done](bool aStored) {
                  // The successor may have changed in the meantime; the acknowledgement of a former
                  // successor does not count.
                  const bool same = driver_.ReplicationTarget(shard) == target;
                  if (aStored && same) {
                    done(true);
                  } else if (same) {
                    driver_.DropSuccessor(shard, done);
                  } else {
                    done(false);
                  }
                });
  });
}

void
ControlService::PushEntries(const ShardId& aShard,
                            const InstanceRef& aSuccessor,
                            std::function<void(bool)> aDone)
{
  if (aShard.service_ == kShareService) {
    aDone(true);
    return;
  }
  hooks_.exportEntries_(aShard,
                        [this, successor = aSuccessor, done = std::move(aDone)](
                          std::vector<IdempotencyEntry> aEntries) {
                          Post([this, successor, done, entries = std::move(aEntries)] {
                            if (entries.empty()) {
                              done(true);
                              return;
                            }
                            SendEntries(
                              successor, EncodeEntries(entries, clock_.Now()), kPushTimeout, done);
                          });
                        });
}

void
ControlService::SendEntries(const InstanceRef& aTo,
                            std::string aEntries,
                            Duration aTimeout,
                            std::function<void(bool)> aDone)
{
  CallInstance(aTo.id_,
               IdempotencyPush{ std::move(aEntries) },
               aTimeout,
               [done = std::move(aDone)](const ControlCallReply* aReply) {
                 const auto* reply =
                   aReply != nullptr ? std::get_if<IdempotencyPushReply>(aReply) : nullptr;
                 done(reply != nullptr && reply->stored_);
               });
}

void
ControlService::CollectStatus(std::function<void(ControlStatus)> aDone)
{
  Post([this, done = std::move(aDone)] {
    struct Collection
    {
      ControlStatus status_;
      std::size_t outstanding_ = 1;
    };
    auto collection = std::make_shared<Collection>();
    ControlStatus& status = collection->status_;
    status.self_ = OwnStatus();
    status.planner_ = planning_.IsPlanner();
    status.reports_.push_back(status.self_);
    for (const auto& [shard, row] : fleet_.Rows()) {
      status.rows_.push_back(row);
    }
    for (const auto& [id, member] : fleet_.Members()) {
      status.members_.push_back(member);
    }
    const auto finish = [collection, done] {
      if (--collection->outstanding_ == 0) {
        done(std::move(collection->status_));
      }
    };
    const std::vector<Member> members = status.members_;
    for (const Member& member : members) {
      if (member.ref_.id_ == self_.id_) {
        continue;
      }
      ++collection->outstanding_;
      CallInstance(member.ref_.id_,
                   StatusQuery{},
                   kStatusTimeout,
                   [collection, finish](const ControlCallReply* aReply) {
                     if (const auto* reply =
                           aReply != nullptr ? std::get_if<StatusReply>(aReply) : nullptr) {
                       collection->status_.reports_.push_back(*reply);
                     }
                     finish();
                   });
    }
    finish();
  });
}

ShardId
ControlService::ShareShard(std::string_view aWorkspace) const
{
  return { std::string(kShareService),
           static_cast<std::uint32_t>(HashBytes(aWorkspace) % kShareShards) };
}

std::string
ControlService::ShareOwnerId(std::string_view aWorkspace) const
{
  const auto row = fleet_.Rows().find(ShareShard(aWorkspace));
  return row == fleet_.Rows().end() ? std::string() : row->second.owner_.id_;
}

std::optional<ShareOwner::Limit>
ControlService::LimitOf(std::string_view aWorkspace) const
{
  const auto found = limits_.find(aWorkspace);
  if (found == limits_.end()) {
    return std::nullopt;
  }
  const bool stable = clock_.Now() - limitsChangedAt_ > kLimitsPropagationTime;
  const Duration timeToLive = found->second.SliceTimeToLive();
  return ShareOwner::Limit{ found->second, stable ? timeToLive : kMaxSliceTimeToLive };
}

void
ControlService::OnConfiguration(const ConfigurationRevision& aRevision)
{
  withdrawalStart_.OnConfiguration(aRevision, clock_.Now());
  std::map<std::string, WorkspaceLimit, std::less<>> limits;
  for (const Workspace& workspace : aRevision.configuration_.workspaces_) {
    limits[workspace.id_] = { workspace.rate_, workspace.burst_ };
  }
  if (limits != limits_) {
    limits_ = std::move(limits);
    limitsChangedAt_ = clock_.Now();
    PrepareShares();
  }
}

void
ControlService::PrepareShares()
{
  shares_.OnOwnershipChanged();
  for (const auto& [workspace, limit] : limits_) {
    shares_.Prepare(workspace, clock_.Now());
  }
}

StatusReply
ControlService::OwnStatus() const
{
  StatusReply status;
  status.ref_ = self_;
  status.configurationRevision_ = keeper_.Current()->revision_;
  status.configurationCurrent_ = keeper_.IsCurrent(DataCentres());
  status.leaseValid_ = table_.LeaseDeadline() > clock_.Now();
  status.storeReachable_ = keeper_.StoreReachable();
  status.shards_ = static_cast<std::uint32_t>(driver_.Owned().size());
  return status;
}

} // namespace redwing
