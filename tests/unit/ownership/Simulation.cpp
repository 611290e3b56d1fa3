#include "Simulation.hpp"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace redwing::test {

using std::chrono::milliseconds;

namespace {

constexpr Duration kTick = milliseconds(10);
constexpr std::size_t kMaxMessageBytes = 1200;
constexpr std::uint64_t kSizeCheckEvery = 64;

std::string
Text(const InstanceRef& aRef)
{
  return aRef.id_ + "@" + std::to_string(aRef.incarnation_);
}

} // namespace

Simulation::Simulation(std::uint64_t aSeed,
                       std::size_t aNodes,
                       std::size_t aShards,
                       OwnershipSettings aSettings)
  : random_(aSeed)
  , settings_(aSettings)
{
  now_ += std::chrono::seconds(1);
  for (std::size_t i = 0; i < aShards; ++i) {
    const ShardId shard{ "booking", static_cast<std::uint32_t>(i) };
    shards_.push_back(shard);
    store_[shard] = StoredRow{ ShardRow{ shard, {}, 0, {} }, 1 };
  }
  for (std::size_t i = 0; i < aNodes; ++i) {
    ids_.push_back("instance-" + std::to_string(i));
  }
  for (const std::string& id : ids_) {
    Start(id);
  }
  std::function<void()>* plan = new std::function<void()>;
  // The planner event re-schedules itself for the lifetime of the simulation.
  auto holder = std::shared_ptr<std::function<void()>>(plan);
  *plan = [this, weak = std::weak_ptr(holder)] {
    if (planner_) {
      Plan();
    }
    if (churn_ && Chance(intensity_)) {
      Fault();
    }
    if (auto self = weak.lock()) {
      At(Between(20000, 100000), nullptr, [self] { (*self)(); });
    }
  };
  At(milliseconds(100), nullptr, [holder] { (*holder)(); });
}

Duration
Simulation::Between(std::int64_t aLowUs, std::int64_t aHighUs)
{
  return std::chrono::microseconds(aLowUs + static_cast<std::int64_t>(random_.Below(
                                              static_cast<std::uint64_t>(aHighUs - aLowUs + 1))));
}

bool
Simulation::Chance(double aProbability)
{
  return aProbability > 0.0 && random_.Unit() < aProbability;
}

void
Simulation::At(Duration aDelay, Node* aNode, std::function<void()> aRun)
{
  events_.push(Event{ now_ + aDelay, ++order_, aNode, std::move(aRun) });
}

Simulation::Node*
Simulation::Current(const std::string& aId)
{
  const auto it = current_.find(aId);
  return it == current_.end() ? nullptr : it->second;
}

void
Simulation::Start(const std::string& aId)
{
  auto node = std::make_unique<Node>();
  node->ref_ = InstanceRef{ aId, ++incarnation_ };
  node->clock_.real_ = &now_;
  node->clock_.offset_ = Between(0, 5000000);
  node->clock_.rate_ = 0.99 + 0.02 * random_.Unit();
  node->random_ = std::make_unique<Random>(random_.Bits());
  node->node_ = std::make_unique<OwnershipNode>(
    node->ref_, settings_, node->clock_, *node->random_, node->table_);
  Node* raw = node.get();
  nodes_.push_back(std::move(node));
  current_[aId] = raw;
  SpreadMembers();
  ScheduleTick(raw);
  At(Between(1000, 50000), raw, [this, raw] { ReadStore(raw); });
}

void
Simulation::ScheduleTick(Node* aNode)
{
  At(Between(8000, 10000), aNode, [this, aNode] {
    aNode->node_->Tick();
    ScheduleTick(aNode);
  });
}

void
Simulation::Kill(const std::string& aId)
{
  Node* node = Current(aId);
  if (node == nullptr) {
    return;
  }
  node->running_ = false;
  current_.erase(aId);
  ++counts_["kill"];
  At(Between(500000, 1500000), nullptr, [this] { SpreadMembers(); });
}

void
Simulation::Restart(const std::string& aId)
{
  if (Current(aId) == nullptr) {
    Start(aId);
    ++counts_["restart"];
  }
}

void
Simulation::Cut(const std::string& aFrom, const std::string& aTo, TimePoint aUntil)
{
  cuts_[{ aFrom, aTo }] = aUntil;
}

void
Simulation::HealAll()
{
  cuts_.clear();
  rates_ = FaultRates{};
  churn_ = false;
  storeUp_ = true;
  for (const std::string& id : ids_) {
    Restart(id);
    Current(id)->pausedUntil_ = now_;
  }
}

std::vector<RingMember>
Simulation::Members()
{
  std::vector<RingMember> members;
  for (std::size_t i = 0; i < ids_.size(); ++i) {
    if (Node* node = Current(ids_[i])) {
      members.push_back(RingMember{ node->ref_, "dc-" + std::to_string(i % 4), "rack", "region" });
    }
  }
  return members;
}

void
Simulation::SpreadMembers()
{
  for (auto& [id, node] : current_) {
    At(Between(100, 200000), node, [this, node = node] { node->node_->SetMembers(Members()); });
  }
}

void
Simulation::ReadStore(Node* aNode)
{
  if (storeUp_) {
    std::vector<ShardRow> rows;
    for (const auto& [shard, stored] : store_) {
      rows.push_back(stored.row_);
      aNode->cache_[shard] = Node::Cached{ stored.row_, stored.revision_, true };
    }
    aNode->node_->OnStoreRows(rows);
  }
  At(Between(100000, 300000), aNode, [this, aNode] { ReadStore(aNode); });
}

void
Simulation::Answer(Node* aNode,
                   std::uint64_t aOperation,
                   CommitOutcome aOutcome,
                   std::optional<ShardRow> aRow)
{
  At(Between(500, 3000), aNode, [aNode, aOperation, aOutcome, aRow] {
    aNode->node_->OnStoreResult(aOperation, aOutcome, aRow);
  });
}

void
Simulation::Commit(Node* aNode, const CommitRow& aCommit)
{
  const ShardId& shard = aCommit.expected_.shard_;
  if (!storeUp_) {
    Answer(aNode, aCommit.operation_, CommitOutcome::Unavailable, std::nullopt);
    return;
  }
  Node::Cached& cached = aNode->cache_[shard];
  if (!cached.valid_ || cached.row_ != aCommit.expected_) {
    cached = Node::Cached{ store_[shard].row_, store_[shard].revision_, true };
  }
  if (cached.row_ != aCommit.expected_) {
    Answer(aNode, aCommit.operation_, CommitOutcome::Conflict, cached.row_);
    return;
  }
  const std::uint64_t revision = cached.revision_;
  const bool lost = Chance(rates_.replyLost_);
  if (lost) {
    // The request may arrive long after the caller was told that the outcome is unknown.
    cached.valid_ = false;
    At(Between(500, 1500000), nullptr, [this, aNode, aCommit, revision] {
      ApplyCommit(aNode, aCommit, revision, false);
    });
    ++counts_["reply lost"];
    Answer(aNode, aCommit.operation_, CommitOutcome::Unknown, std::nullopt);
    return;
  }
  At(Between(500, 3000), nullptr, [this, aNode, aCommit, revision] {
    ApplyCommit(aNode, aCommit, revision, true);
  });
}

void
Simulation::ApplyCommit(Node* aNode,
                        const CommitRow& aCommit,
                        std::uint64_t aRevision,
                        bool aAnswer)
{
  StoredRow& stored = store_[aCommit.expected_.shard_];
  if (!storeUp_) {
    if (aAnswer) {
      Answer(aNode, aCommit.operation_, CommitOutcome::Unavailable, std::nullopt);
    }
    return;
  }
  CommitOutcome outcome = CommitOutcome::Conflict;
  if (stored.revision_ == aRevision) {
    stored.row_ = aCommit.next_;
    ++stored.revision_;
    outcome = CommitOutcome::Success;
    ++counts_["commit"];
  }
  if (aAnswer) {
    aNode->cache_[aCommit.expected_.shard_] = Node::Cached{ stored.row_, stored.revision_, true };
    Answer(aNode, aCommit.operation_, outcome, stored.row_);
  }
}

void
Simulation::Deliver(Node* aFrom, const SendMessage& aSend)
{
  if (order_ % kSizeCheckEvery == 0) {
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(aSend.message_);
    if (stream.str().size() > kMaxMessageBytes) {
      violation_ = "message of " + std::to_string(stream.str().size()) + " bytes";
    }
  }
  const auto cut = cuts_.find({ aFrom->ref_.id_, aSend.to_.id_ });
  if ((cut != cuts_.end() && now_ < cut->second) || Chance(rates_.loss_)) {
    return;
  }
  const int copies = Chance(rates_.duplicate_) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    const Duration delay = Chance(rates_.late_) ? Between(1000, 2000000) : Between(200, 2000);
    At(delay, nullptr, [this, from = aFrom->ref_, send = aSend] {
      Node* to = Current(send.to_.id_);
      // The transport delivers only to the incarnation that is addressed.
      if (to == nullptr || to->ref_ != send.to_) {
        return;
      }
      // Queued in the receiver's socket while it is paused.
      At(Duration(0), to, [to, from, send] { to->node_->Receive(from, send.message_); });
    });
  }
}

void
Simulation::Apply(Node* aNode, const Effect& aEffect)
{
  if (const auto* send = std::get_if<SendMessage>(&aEffect)) {
    Deliver(aNode, *send);
  } else if (const auto* commit = std::get_if<CommitRow>(&aEffect)) {
    Commit(aNode, *commit);
  } else if (const auto* pending = std::get_if<SuccessorPending>(&aEffect)) {
    At(Between(500, 20000), aNode, [aNode, copy = *pending] {
      aNode->node_->ConfirmSuccessor(copy.shard_, copy.successor_);
    });
  } else if (const auto* dead = std::get_if<MemberDead>(&aEffect)) {
    ++counts_["dead"];
    for (auto& [id, node] : current_) {
      At(Between(500, 100000), node, [node = node, ref = dead->ref_] {
        node->node_->OnMemberDead(ref);
      });
    }
  } else if (std::holds_alternative<LeaseExpired>(aEffect)) {
    ++counts_["expired"];
    if (Current(aNode->ref_.id_) == aNode) {
      aNode->running_ = false;
      current_.erase(aNode->ref_.id_);
      At(Between(1000, 50000), nullptr, [this, id = aNode->ref_.id_] { Restart(id); });
    }
  }
}

void
Simulation::Drain(Node* aNode)
{
  Effects effects = aNode->node_->TakeEffects();
  for (const Effect& effect : effects) {
    if (const auto* gained = std::get_if<OwnershipGained>(&effect)) {
      const auto [it, inserted] =
        tokens_.try_emplace({ gained->shard_, gained->token_ }, aNode->ref_);
      ++counts_["gained"];
      if (it->second != aNode->ref_) {
        violation_ = "token " + std::to_string(gained->token_) + " of shard " +
                     std::to_string(gained->shard_.index_) + " at " + Text(it->second) + " and " +
                     Text(aNode->ref_);
      }
    }
  }
  if (Chance(rates_.lateEffects_)) {
    auto shared = std::make_shared<Effects>(std::move(effects));
    At(Between(1000, 800000), aNode, [this, aNode, shared] {
      for (const Effect& effect : *shared) {
        Apply(aNode, effect);
      }
    });
    return;
  }
  for (const Effect& effect : effects) {
    Apply(aNode, effect);
  }
}

bool
Simulation::CheckInvariants()
{
  if (!violation_.empty()) {
    return false;
  }

  for (const ShardId& shard : shards_) {
    const Node* owner = nullptr;
    for (const auto& node : nodes_) {
      const TimePoint local = node->clock_.Now();
      if (local >= node->table_.LeaseDeadline() || !node->table_.Check(shard, local).owned_) {
        continue;
      }
      if (owner != nullptr) {
        violation_ = "shard " + std::to_string(shard.index_) + " owned by " + Text(owner->ref_) +
                     " and " + Text(node->ref_) + " at step " + std::to_string(steps_);
        return false;
      }
      owner = node.get();
    }
  }
  return true;
}

bool
Simulation::Step()
{
  Event event = events_.top();
  events_.pop();
  now_ = std::max(now_, event.at_);
  ++steps_;
  Node* node = event.node_;
  if (node != nullptr) {
    if (!node->running_) {
      return CheckInvariants();
    }
    if (now_ < node->pausedUntil_) {
      At(node->pausedUntil_ - now_, node, std::move(event.run_));
      return CheckInvariants();
    }
  }
  event.run_();
  if (node != nullptr) {
    Drain(node);
    if (Chance(rates_.pause_)) {
      ++counts_["pause"];
      node->pausedUntil_ = now_ + Between(1000, Chance(0.3) ? 2500000 : 700000);
    }
  }
  return CheckInvariants();
}

bool
Simulation::Run(Duration aSpan)
{
  const TimePoint end = now_ + aSpan;
  while (now_ < end) {
    if (!Step()) {
      return false;
    }
  }
  return true;
}

std::optional<Duration>
Simulation::RunUntil(const std::function<bool()>& aDone, Duration aLimit)
{
  const TimePoint begin = now_;
  while (now_ - begin <= aLimit) {
    if (aDone()) {
      return now_ - begin;
    }
    if (!Step()) {
      return std::nullopt;
    }
  }
  return std::nullopt;
}

Simulation::Node*
Simulation::OwnerOf(std::size_t aShard)
{
  for (auto& [id, node] : current_) {
    if (node->table_.Check(shards_[aShard], node->clock_.Now()).owned_) {
      return node;
    }
  }
  return nullptr;
}

bool
Simulation::AllOwned()
{
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    if (OwnerOf(i) == nullptr) {
      return false;
    }
  }
  return true;
}

bool
Simulation::AllWithSuccessor()
{
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Node* owner = OwnerOf(i);
    if (owner == nullptr || owner->node_->Shards().Find(shards_[i])->successor_.Empty() ||
        owner->node_->Shards().Phase(shards_[i]) != RowPhase::Stable) {
      return false;
    }
  }
  return true;
}

std::string
Simulation::Describe()
{
  std::ostringstream out;
  for (auto& [id, node] : current_) {
    out << Text(node->ref_) << " lease=" << node->node_->Holder().LeaseValid()
        << " grantor=" << Text(node->node_->Holder().Grantor())
        << " backup=" << Text(node->node_->Holder().Backup()) << " deps:";
    for (const auto& [ref, binding] : node->node_->Grantor().Bindings()) {
      out << ' ' << Text(ref) << (binding.registered_ ? "+" : "-")
          << static_cast<int>(binding.death_) << (binding.confirmed_ ? "" : "?");
    }
    out << '\n';
  }
  for (std::size_t i = 0; i < shards_.size(); ++i) {
    Node* owner = OwnerOf(i);
    const StoredRow& stored = store_[shards_[i]];
    out << "shard " << i << " owner=" << (owner != nullptr ? Text(owner->ref_) : "-") << " store=("
        << Text(stored.row_.owner_) << ',' << stored.row_.token_ << ','
        << Text(stored.row_.successor_) << ")\n";
  }
  return out.str();
}

} // namespace redwing::test
