#pragma once

#include "unit/fleet/FleetFixture.hpp"

#include "config/Configuration.hpp"

#include <map>

namespace redwing::test {

/// A fleet whose store comes back from older copies. Its servers send heartbeats, hold what they
/// were granted until the grant ends, and are checked all the while: no key has two holders, and a
/// key that goes to another server has a higher fencing token.
struct RestoredFleet : Fleet
{
  /// Runs until aCondition holds, at most for aLimit; returns whether it holds.
  template<typename Condition>
  bool Play(Condition aCondition, std::chrono::milliseconds aLimit = 6s)
  {
    return RunUntil(
      [&] {
        if (!storeAway_) {
          store_.Expire();
        }
        Serve();
        return aCondition();
      },
      aLimit);
  }

  void PlayFor(std::chrono::milliseconds aTime)
  {
    Play([] { return false; }, aTime);
  }

  /// The store is away for aTime and comes back from its last copy.
  void Restore(std::chrono::milliseconds aTime = 300ms)
  {
    storeAway_ = true;
    std::set<Node*> cut;
    for (auto& [id, node] : nodes_) {
      if (!lost_.contains(id)) {
        node->store_.Cut(true);
        cut.insert(node.get());
      }
    }
    PlayFor(aTime);
    store_.Restore();
    storeAway_ = false;
    for (Node* node : cut) {
      if (!cutOff_.contains(node->id_)) {
        node->store_.Cut(false);
      }
    }
  }

  /// Starts the servers of all nodes and runs until the shards are shared among them.
  void Begin(const std::vector<std::string>& aIds)
  {
    for (const std::string& id : aIds) {
      Node& node = Add(id);
      serving_.insert(id);
      node.Beat();
      node.Status(BackendState::Ready, false);
    }
    const std::set<std::string> all(aIds.begin(), aIds.end());
    BOOST_REQUIRE(Play([&] { return Holders() == all && Served() == kShards; }));
  }

  /// The machine of aNode is lost: its server ends and nothing reaches its process any more.
  void Lose(Node& aNode)
  {
    CutOff(aNode);
    aNode.answered_ = false;
    aNode.called_ = false;
    serving_.erase(aNode.id_);
    lost_.insert(aNode.id_);
  }

  /// aNode does not reach the store any more, but the other nodes.
  void CutOff(Node& aNode)
  {
    aNode.store_.Cut(true);
    cutOff_.insert(aNode.id_);
  }

  /// The server of aNode says that it leaves; runs until its shards are held by others.
  void Drain(Node& aNode)
  {
    draining_.insert(aNode.id_);
    BOOST_REQUIRE(Play(
      [&] { return !Holders().contains(aNode.id_) && HeldBy(aNode) == 0 && Served() == kShards; }));
  }

  /// Returns the number of shards that the server of aNode holds.
  std::size_t HeldBy(const Node& aNode) { return HeldShards(aNode).size(); }

  /// Returns the number of shards that some server holds.
  std::size_t Served()
  {
    std::set<std::uint32_t> served;
    for (const auto& [id, node] : nodes_) {
      served.merge(HeldShards(*node));
    }
    return served.size();
  }

  bool AllServed() { return Served() == kShards; }

  ShardTable StoredTable() const
  {
    const auto entry = store_.Entries().find(kTableKey);
    return entry == store_.Entries().end() ? ShardTable(kShards)
                                           : *ShardTable::Parse(entry->second.value_);
  }

  Node& Leader() { return *nodes_.at(LeaderInStore()); }

  /// Returns a node with a server other than aNodes.
  Node& Other(const std::set<std::string>& aNodes)
  {
    const auto found = std::find_if(nodes_.begin(), nodes_.end(), [&](const auto& aNode) {
      return !aNodes.contains(aNode.first) && serving_.contains(aNode.first);
    });
    return *found->second;
  }

  bool storeAway_ = false;
  std::set<std::string> serving_;
  std::set<std::string> draining_;
  std::set<std::string> cutOff_;
  std::set<std::string> lost_;
  /// First violation of the rules; empty if there was none.
  std::string violation_;

private:
  struct Hold
  {
    std::string holder_;
    std::uint64_t token_ = 0;
  };

  std::set<std::uint32_t> HeldShards(const Node& aNode) const
  {
    std::set<std::uint32_t> shards;
    if (clock_.Now() >= aNode.grantedUntil_) {
      return shards;
    }
    constexpr std::uint32_t kKeys = kNumericKeys / kShards;
    for (const HeldKeys& keys : aNode.granted_) {
      for (std::uint32_t shard = keys.first_ / kKeys; shard <= keys.last_ / kKeys; ++shard) {
        shards.insert(shard);
      }
    }
    return shards;
  }

  void Serve()
  {
    const TimePoint now = clock_.Now();
    if (now >= nextBeats_) {
      nextBeats_ = now + 60ms;
      for (const std::string& id : serving_) {
        Node& node = *nodes_.at(id);
        node.holds_ = now < node.grantedUntil_ ? node.granted_ : std::vector<HeldKeys>();
        node.Beat(draining_.contains(id));
      }
    }
    Check();
  }

  void Check()
  {
    std::map<std::uint32_t, std::string> holders;
    for (const auto& [id, node] : nodes_) {
      for (const std::uint32_t shard : HeldShards(*node)) {
        const auto [holder, first] = holders.emplace(shard, id);
        if (!first) {
          Violated("shard " + std::to_string(shard) + " is held by " + holder->second + " and " +
                   id);
        }
        const std::uint64_t token = TokenOf(*node, shard);
        Hold& last = holds_[shard];
        const std::string holding = id + "@" + std::to_string(node->startedAt_);
        if (last.holder_ != holding && token <= last.token_) {
          Violated("shard " + std::to_string(shard) + " went to " + holding + " with token " +
                   std::to_string(token) + "; " + last.holder_ + " had it with token " +
                   std::to_string(last.token_));
        }
        last = { holding, std::max(token, last.token_) };
      }
    }
  }

  static std::uint64_t TokenOf(const Node& aNode, std::uint32_t aShard)
  {
    constexpr std::uint32_t kKeys = kNumericKeys / kShards;
    for (const HeldKeys& keys : aNode.granted_) {
      if (keys.first_ <= aShard * kKeys && aShard * kKeys <= keys.last_) {
        return keys.token_;
      }
    }
    return 0;
  }

  void Violated(std::string aWhat)
  {
    if (violation_.empty()) {
      violation_ = std::move(aWhat);
    }
  }

  TimePoint nextBeats_{};
  std::map<std::uint32_t, Hold> holds_;
};

} // namespace redwing::test
