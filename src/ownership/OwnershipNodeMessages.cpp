#include "ownership/OwnershipNode.hpp"

namespace redwing {

void
OwnershipNode::Handle(const InstanceRef& aFrom, const BindProbe&)
{
  grantor_.OnProbe(aFrom, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const BindOffer& aMessage)
{
  const auto bound = holder_.OnOffer(aFrom, aMessage, effects_);
  if (!bound || bound->dependants_ == DependantAction::Keep) {
    return;
  }
  if (bound->dependants_ == DependantAction::Rebind) {
    grantor_.DropAndRebind(bound->nested_);
  } else {
    grantor_.DropAll();
  }
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const Heartbeat& aMessage)
{
  grantor_.OnHeartbeat(aFrom, aMessage, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const HeartbeatReply& aMessage)
{
  if (holder_.OnReply(aFrom, aMessage, effects_)) {
    grantor_.DropAll();
  }
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const Distress& aMessage)
{
  holder_.OnDistress(aFrom, aMessage);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const RowsUpdate& aMessage)
{
  grantor_.OnUpdate(aFrom, aMessage, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const RowsAck& aMessage)
{
  if (aMessage.dependant_ == self_) {
    replicator_.OnAck(aFrom, aMessage);
    // The next step of a successor change follows at once.
    shards_.Tick(clock_.Now(), effects_);
  } else {
    grantor_.OnAck(aFrom, aMessage, effects_);
  }
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const RowsDrop& aMessage)
{
  grantor_.OnDrop(aFrom, aMessage, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const RowsDropAck& aMessage)
{
  grantor_.OnDropAck(aFrom, aMessage, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const Unbind& aMessage)
{
  grantor_.OnUnbind(aFrom, aMessage, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const UnbindAck& aMessage)
{
  holder_.OnUnbindAck(aFrom, aMessage, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const Decide& aMessage)
{
  grantor_.OnDecide(aFrom, aMessage, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const DecideAck& aMessage)
{
  grantor_.OnDecideAck(aFrom, aMessage, effects_);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const TakeOver& aMessage)
{
  if (aMessage.row_.successor_ == self_ && holder_.LeaseValid()) {
    shards_.TakeOverRow(aMessage.row_, effects_);
    effects_.emplace_back(SendMessage{ aFrom, TakeOverAck{ aMessage.row_ } });
  }
}

void
OwnershipNode::Handle(const InstanceRef&, const TakeOverAck& aMessage)
{
  grantor_.OnTakeOverAck(aMessage);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const Release& aMessage)
{
  if (aMessage.row_.successor_ == self_ && holder_.LeaseValid()) {
    shards_.TakeOverRow(aMessage.row_, effects_);
    effects_.emplace_back(SendMessage{ aFrom, ReleaseAck{ aMessage.row_ } });
  }
}

void
OwnershipNode::Handle(const InstanceRef&, const ReleaseAck& aMessage)
{
  shards_.OnReleaseAck(aMessage);
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const ClaimQuery& aMessage)
{
  if (aMessage.row_.successor_ == self_) {
    effects_.emplace_back(
      SendMessage{ aFrom, ClaimPromise{ aMessage.row_, ledger_.Promise(aMessage.row_) } });
  }
}

void
OwnershipNode::Handle(const InstanceRef& aFrom, const ClaimPromise& aMessage)
{
  claims_.OnPromise(aFrom, aMessage);
}

void
OwnershipNode::Handle(const InstanceRef&, const ProposeSuccessor& aMessage)
{
  shards_.Propose(aMessage.shard_, aMessage.target_, aMessage.move_);
}

} // namespace redwing
