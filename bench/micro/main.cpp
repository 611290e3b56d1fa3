#include "FullSize.hpp"
#include "Measure.hpp"

#include "config/ConfigurationParser.hpp"
#include "control/ControlCodec.hpp"
#include "control/OwnershipDriver.hpp"
#include "control/ShardRowCodec.hpp"
#include "limits/ShareOwner.hpp"
#include "limits/SliceHolder.hpp"
#include "membership/RingOrder.hpp"
#include "ownership/OwnershipNode.hpp"
#include "placement/Planner.hpp"
#include "routing/OwnerDirectory.hpp"
#include "routing/RouteTable.hpp"
#include "routing/ShardMap.hpp"
#include "support/FakeStore.hpp"

#include <algorithm>
#include <chrono>
#include <iostream>

namespace {

using namespace redwing;
using namespace redwing::micro;
using std::chrono::milliseconds;

std::unique_ptr<FleetState>
FullFleet()
{
  auto fleet = std::make_unique<FleetState>([](const GossipItem&) {}, [](const InstanceRef&) {});
  fleet->GetGossip().SetFleetSize(kInstances);
  fleet->GetGossip().MergePulled(AllItems());
  return fleet;
}

std::shared_ptr<const ConfigurationRevision>
FullConfiguration()
{
  auto revision = std::make_shared<ConfigurationRevision>();
  auto parsed = ConfigurationParser::Parse(LargeDocument());
  if (!parsed) {
    std::cerr << "document: " << parsed.error().front().message_ << "\n";
    std::exit(1);
  }
  revision->revision_ = 1;
  revision->configuration_ = std::move(*parsed);
  return revision;
}

/// The steps of ControlService::PublishView.
std::shared_ptr<RoutingView>
BuildView(const FleetState& aFleet, const std::shared_ptr<const ConfigurationRevision>& aRevision)
{
  auto next = std::make_shared<RoutingView>();
  next->configuration_ = aRevision;
  next->members_ = aFleet.Members();
  next->shards_[kService].rows_.resize(kShards);
  for (const auto& [shard, row] : aFleet.Rows()) {
    const auto found = next->shards_.find(shard.service_);
    if (found != next->shards_.end() && shard.index_ < found->second.rows_.size()) {
      found->second.rows_[shard.index_] = row;
    }
  }
  return next;
}

void
MeasureRouting()
{
  const auto fleet = FullFleet();
  const auto revision = FullConfiguration();
  std::shared_ptr<RoutingView> view;
  MeasureMemory("routing.view", [&] { view = BuildView(*fleet, revision); });
  MeasureTime("routing.view_build", [&] { Keep(BuildView(*fleet, revision)); });
  const RouteTable routes(revision);
  MeasureTime("routing.route_match", [&] { Keep(routes.Match("GET", "/route-42/customer-17/x")); });
  std::uint32_t key = 0;
  MeasureTime("routing.shard_of",
              [&] { Keep(ShardOf("customer-" + std::to_string(++key), kShards)); });
  const OwnerDirectory directory;
  MeasureTime("routing.choose_owner",
              [&] { Keep(directory.Choose(*view, kService, (key += 7919) % kShards, {})); });
}

void
MeasureGossip()
{
  const std::vector<GossipItem> items = AllItems();
  std::unique_ptr<FleetState> fleet;
  MeasureMemory("membership.fleet_state", [&] { fleet = FullFleet(); });
  Gossip& gossip = fleet->GetGossip();
  while (!gossip.TakeRound(1U << 20U).empty()) {
  }
  std::uint64_t token = 1;
  std::uint32_t shard = 0;
  MeasureTime("membership.merge_new_row", [&] {
    const GossipItem item = NewerRow(++shard % kShards, ++token);
    gossip.Merge(std::span<const GossipItem>(&item, 1));
  });
  MeasureTime("membership.merge_known_item",
              [&] { gossip.Merge(std::span<const GossipItem>(items.data(), 1)); });
  while (!gossip.TakeRound(1U << 20U).empty()) {
  }
  MeasureTime("membership.take_round_idle", [&] { Keep(gossip.TakeRound(900)); });
  const auto pull = [&] {
    return ControlCodec::Encode(ControlCall(GossipPull{ gossip.BucketDigests() }));
  };
  MeasureTime("membership.pull_request", [&] { Keep(pull()); });
  RecordBytes("membership.pull_request", pull().size());
  std::vector<std::uint32_t> theirs = gossip.BucketDigests();
  ++theirs[17];
  const auto differing = [&] {
    return ControlCodec::Encode(
      ControlCallReply(GossipPullReply{ gossip.ItemsDiffering(theirs, 0, 512 * 1024) }));
  };
  MeasureTime("membership.pull_reply_one_fact", [&] { Keep(differing()); });
  RecordBytes("membership.pull_reply_one_fact", differing().size());
  std::vector<RingMember> ring;
  for (const auto& [id, member] : fleet->Members()) {
    ring.push_back({ member.ref_, member.dataCentre_, member.rack_, member.region_ });
  }
  MeasureTime("membership.order_ring", [&] { Keep(OrderRing(ring, "region-0")); });
}

void
MeasureFleetChange()
{
  test::ManualClock clock;
  Random random(1);
  test::FakeStore store(1, 0);
  OwnershipTable table;
  const auto fleet = FullFleet();
  OwnershipHooks hooks;
  hooks.send_ = [](const InstanceRef&, const OwnershipMessage&) {};
  hooks.setGrants_ =
    [](const std::vector<ShardGrant>&, TimePoint, const std::function<void(bool)>&) {};
  hooks.pushEntries_ = [](const ShardId&, const InstanceRef&, const std::function<void(bool)>&) {};
  hooks.post_ = [](const std::function<void()>&) {};
  hooks.onGained_ = [](const ShardId&, std::uint64_t) {};
  hooks.onLost_ = [](const ShardId&, std::uint64_t, const InstanceRef&) {};
  hooks.onExpired_ = [] {};
  OwnershipDriver driver(clock, random, table, *fleet, store, hooks);
  MeasureMemory("control.ownership_driver", [&] { driver.Start(MakeMember(0).ref_); });
  std::uint64_t token = 1;
  MeasureTime("control.fleet_change_row", [&] {
    const GossipItem item = NewerRow(17, ++token);
    fleet->GetGossip().Merge(std::span<const GossipItem>(&item, 1));
    driver.OnFleetChanged();
  });
  std::uint64_t incarnation = 1048576;
  MeasureTime("control.fleet_change_member", [&] {
    const Member member = MakeMember(99, ++incarnation);
    const GossipItem item{ "m/" + member.ref_.id_,
                           { incarnation, 1 },
                           MemberFact{ member, false }.Encode() };
    fleet->GetGossip().Merge(std::span<const GossipItem>(&item, 1));
    driver.OnFleetChanged();
  });
  MeasureTime("control.driver_tick", [&] {
    clock.Advance(std::chrono::microseconds(1));
    driver.Tick();
  });
}

void
MeasurePlanner()
{
  std::vector<Candidate> candidates;
  for (std::size_t i = 0; i < kInstances; ++i) {
    const Member member = MakeMember(i);
    candidates.push_back({ member.ref_, member.dataCentre_, member.rack_, 16, true });
  }
  std::vector<PlannedShard> shards(kShards);
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    shards[shard].row_ = MakeRow(shard);
    shards[shard].load_ = 800;
  }
  const Planner planner{ PlannerLimits{} };
  RecordBytes("placement.steps_settled", planner.Plan(shards, candidates).size());
  MeasureTime("placement.plan_settled", [&] { Keep(planner.Plan(shards, candidates)); });
  for (PlannedShard& shard : shards) {
    if (shard.row_.shard_.index_ % kInstances < 16) {
      shard.row_.owner_ = {};
    }
  }
  MeasureTime("placement.plan_rack_lost", [&] { Keep(planner.Plan(shards, candidates)); });
  for (std::size_t i = 0; i < kInstances; i += kDataCentres) {
    candidates[i].acceptsShards_ = false;
  }
  MeasureTime("placement.plan_data_centre_withdrawn",
              [&] { Keep(planner.Plan(shards, candidates)); });
  std::map<std::uint32_t, ShardRow> chunk;
  for (std::uint32_t shard = 0; shard < kShardsPerChunk; ++shard) {
    chunk[shard] = MakeRow(shard);
  }
  const std::string text = EncodeChunk(chunk);
  RecordBytes("placement.chunk", text.size());
  MeasureTime("placement.chunk_decode", [&] { Keep(DecodeChunk(kService, text)); });
}

void
MeasureLimits()
{
  const WorkspaceLimit limit{ 5400, 10800 };
  ShareOwner owner(
    [&](std::string_view) {
      return ShareOwner::Limit{ limit, kMaxSliceTimeToLive };
    },
    [](std::string_view) { return true; });
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    ids.push_back("workspace-" + std::to_string(i));
  }
  TimePoint now{ std::chrono::seconds(1000) };
  MeasureMemory("limits.owner_buckets", [&] {
    for (const std::string& id : ids) {
      owner.Prepare(id, now);
    }
  });
  now += std::chrono::seconds(10);
  std::uint64_t request = 0;
  MeasureTime("limits.owner_grant_and_report", [&] {
    now += std::chrono::microseconds(10);
    const std::string& id = ids[++request % kWorkspaces];
    const SliceReply reply = owner.OnRequest("instance-1", { id, request, 20 }, now);
    owner.OnReport("instance-1", { id, request, 1 }, now);
    Keep(reply);
  });
  std::vector<SliceHolder> holders;
  MeasureMemory("limits.holders", [&] {
    holders.reserve(kWorkspaces);
    for (const std::string& id : ids) {
      holders.emplace_back(id);
    }
  });
  MeasureTime("limits.holders_tick_all", [&] {
    now += milliseconds(5);
    for (SliceHolder& holder : holders) {
      Keep(holder.Tick(now));
    }
  });
}

/// A ring of four instances on one clock whose messages arrive at once.
class Ring
{
public:
  explicit Ring(std::uint32_t aRowsEach)
    : random_(1)
  {
    std::vector<RingMember> members;
    for (std::size_t i = 0; i < kSize; ++i) {
      const Member member = MakeMember(i * kRegions);
      members.push_back({ member.ref_, "dc" + std::to_string(i), "rack", "region" });
    }
    for (const RingMember& member : members) {
      tables_.push_back(std::make_unique<OwnershipTable>());
      nodes_.push_back(std::make_unique<OwnershipNode>(
        member.ref_, OwnershipSettings{}, clock_, random_, *tables_.back()));
      nodes_.back()->SetMembers(members);
    }
    Run(milliseconds(3000));
    for (std::uint32_t i = 0; i < aRowsEach * kSize; ++i) {
      ShardRow row;
      row.shard_ = { kService, i };
      row.owner_ = members[i % kSize].ref_;
      row.token_ = 1;
      for (auto& node : nodes_) {
        node->OnStoreRows(std::span<const ShardRow>(&row, 1));
      }
    }
    Run(milliseconds(1000));
  }

  /// Lets aTime pass in steps of the control thread's tick.
  void Run(Duration aTime)
  {
    for (Duration passed{ 0 }; passed < aTime; passed += milliseconds(5)) {
      clock_.Advance(milliseconds(5));
      for (auto& node : nodes_) {
        node->Tick();
      }
      Deliver();
    }
  }

  std::size_t Owned() const
  {
    std::size_t owned = 0;
    for (std::uint32_t i = 0; i < 4096; ++i) {
      for (const auto& table : tables_) {
        owned += table->Check({ kService, i }, clock_.Now()).owned_ ? 1 : 0;
      }
    }
    return owned;
  }

  std::uint64_t messages_ = 0;
  std::uint64_t bytes_ = 0;
  bool count_ = false;

  static constexpr std::size_t kSize = 4;

private:
  void Deliver()
  {
    bool moved = true;
    while (moved) {
      moved = false;
      for (auto& node : nodes_) {
        for (Effect& effect : node->TakeEffects()) {
          if (const auto* send = std::get_if<SendMessage>(&effect)) {
            moved = true;
            Pass(node->Self(), *send);
          }
        }
      }
    }
  }

  void Pass(const InstanceRef& aFrom, const SendMessage& aSend)
  {
    ++messages_;
    if (count_) {
      bytes_ += codec_.EncodeDatagram(aFrom, OwnershipDatagram{ aSend.to_, aSend.message_ }).size();
    }
    for (auto& node : nodes_) {
      if (node->Self() == aSend.to_) {
        node->Receive(aFrom, aSend.message_);
      }
    }
  }

  test::ManualClock clock_;
  Random random_;
  ControlCodec codec_{ std::string(64, '1') };
  std::vector<std::unique_ptr<OwnershipTable>> tables_;
  std::vector<std::unique_ptr<OwnershipNode>> nodes_;
};

void
MeasureGrantor(std::uint32_t aRowsEach)
{
  const std::string name = "ownership.second_with_" + std::to_string(aRowsEach) + "_rows";
  std::unique_ptr<Ring> ring;
  MeasureMemory(name + ".four_instances", [&] { ring = std::make_unique<Ring>(aRowsEach); });
  RecordBytes(name + ".shards_owned", ring->Owned());
  const auto start = std::chrono::steady_clock::now();
  constexpr int kSeconds = 20;
  ring->Run(std::chrono::seconds(kSeconds));
  const auto spent = std::chrono::steady_clock::now() - start;
  RecordTime(name,
             std::chrono::duration<double, std::nano>(spent).count() / kSeconds / Ring::kSize);
  ring->count_ = true;
  ring->bytes_ = 0;
  ring->Run(std::chrono::seconds(kSeconds));
  RecordBytes(name + ".sent", ring->bytes_ / kSeconds / Ring::kSize);
}

void
MeasureConfiguration()
{
  const std::string document = LargeDocument();
  RecordBytes("config.document", document.size());
  MeasureTime("config.parse", [&] { Keep(ConfigurationParser::Parse(document)); });
  std::shared_ptr<const ConfigurationRevision> revision;
  MeasureMemory("config.revision", [&] { revision = FullConfiguration(); });
}

void
MeasureCodec()
{
  const ControlCodec codec(std::string(64, '1'));
  const InstanceRef self{ "instance-17", 1048576 };
  const OwnershipDatagram heartbeat{ self, Heartbeat{ 7, 1234567890, self } };
  const std::string bytes = codec.EncodeDatagram(self, heartbeat);
  RecordBytes("codec.heartbeat", bytes.size());
  MeasureTime("codec.heartbeat_encode", [&] { Keep(codec.EncodeDatagram(self, heartbeat)); });
  MeasureTime("codec.heartbeat_decode", [&] { Keep(codec.DecodeDatagram(bytes)); });
  GossipRound round;
  for (std::size_t i = 0; i < kDataCentres; ++i) {
    round.reports_.push_back({ "data-centre-" + std::to_string(i), 17, true, 200 });
  }
  RecordBytes("codec.gossip_idle", codec.EncodeDatagram(self, round).size());
  for (std::uint32_t i = 0; i < 9; ++i) {
    round.items_.push_back(NewerRow(i, 2));
  }
  const std::string full = codec.EncodeDatagram(self, round);
  RecordBytes("codec.gossip_full", full.size());
  MeasureTime("codec.gossip_encode", [&] { Keep(codec.EncodeDatagram(self, round)); });
  MeasureTime("codec.gossip_decode", [&] { Keep(codec.DecodeDatagram(full)); });
}

} // namespace

/// Runs the groups named on the command line, or all.
int
main(int aCount, char** aArguments)
{
  const std::vector<std::string_view> wanted(aArguments + 1, aArguments + aCount);
  const auto run = [&](std::string_view aGroup, const std::function<void()>& aMeasure) {
    if (wanted.empty() || std::find(wanted.begin(), wanted.end(), aGroup) != wanted.end()) {
      aMeasure();
    }
  };
  run("routing", MeasureRouting);
  run("limits", MeasureLimits);
  run("ownership", [] {
    MeasureGrantor(16);
    MeasureGrantor(64);
  });
  run("config", MeasureConfiguration);
  run("codec", MeasureCodec);
  run("control", MeasureFleetChange);
  run("membership", MeasureGossip);
  run("placement", MeasurePlanner);
  PrintRecords();
  return 0;
}
