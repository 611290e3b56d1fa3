// Part of PeerService: what links deliver and what their loss means for open exchanges.

#include "core/Log.hpp"
#include "peer/PeerService.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <type_traits>
#include <utility>

#include "peer/PeerDetail.hpp"

#include <set>

namespace redwing {

namespace {

bool
IsRejection(std::string_view aReason)
{
  static const std::set<std::string_view> kRejections{
    "authentication_failed", "bad_handshake",  kUnexpectedInstance, "oversized_frame", "bad_mac",
    "bad_message",           "wrong_direction"
  };
  return kRejections.contains(aReason);
}

} // namespace

void
PeerService::OnEstablished(const std::shared_ptr<Link>& aLink)
{
  linksOpened_.Add();
  LogLine(LogLevel::Info, "peer_link_established")
    .With("link", aLink->Id())
    .With("instance", aLink->Peer().id_)
    .With("inbound", aLink->Inbound());
}

void
PeerService::OnWriting(const std::shared_ptr<Link>& /*aLink*/, const LinkMessage& aMessage)
{
  if (const auto* start = std::get_if<RequestStart>(&aMessage)) {
    requestsSent_.Add();
    if (const auto it = attempts_.find(start->key_.exchangeId_); it != attempts_.end()) {
      it->second.written_ = true;
    }
  } else if (const auto* call = std::get_if<CallRequest>(&aMessage)) {
    if (const auto it = calls_.find(call->callId_); it != calls_.end()) {
      it->second.written_ = true;
    }
  }
}

void
PeerService::OnDelayed(const std::shared_ptr<Link>& aLink, Duration aDelay)
{
  frameDelays_.Add(aDelay, clock_.Now(), aLink->Peer().id_);
}

void
PeerService::OnMessage(const std::shared_ptr<Link>& aLink, LinkMessage&& aMessage)
{
  const auto found = links_.find(aLink->Id());
  if (found == links_.end()) {
    return;
  }
  auto& entry = found->second;
  std::visit(
    [&](auto& aAlternative) {
      using Type = std::decay_t<decltype(aAlternative)>;
      constexpr bool kToServer =
        std::is_constructible_v<RequestEvent, Type> || std::is_same_v<Type, CallRequest>;
      constexpr bool kToCaller =
        std::is_constructible_v<ResponseEvent, Type> || std::is_same_v<Type, CallReply>;
      if ((kToServer && !aLink->Inbound()) || (kToCaller && aLink->Inbound())) {
        aLink->Close("wrong_direction");
      } else {
        Receive(entry, std::move(aAlternative));
      }
    },
    aMessage);
}

void
PeerService::Receive(LinkEntry& aEntry, RequestStart&& aEvent)
{
  requestsReceived_.Add();
  aEvent.key_.linkId_ = aEntry.link_->Id();
  const auto key = aEvent.key_;
  aEntry.inbound_[key.exchangeId_] = InboundExchange{ aEvent.idempotent_ };
  if (!hooks_.tryStartLocal_(std::move(aEvent))) {
    Refusal refusal;
    refusal.key_ = key;
    refusal.code_ = ErrorCode::QueueFull;
    Execute(ResponseEvent(std::move(refusal)));
  }
}

void
PeerService::Receive(LinkEntry& aEntry, Ping&& aPing)
{
  aEntry.link_->Send(Pong{ aPing.number_ });
}

void
PeerService::Receive(LinkEntry& /*aEntry*/, Pong&& /*aPong*/)
{
  // Its arrival was recorded as progress by the link.
}

template<Detail::RequestAlternative Event>
void
PeerService::Receive(LinkEntry& aEntry, Event&& aEvent)
{
  // Credit for a response whose end was passed to the link tells when its parts arrived.
  constexpr bool kCredit = std::is_same_v<Event, ResponseCredit>;
  if (kCredit || aEntry.inbound_.contains(aEvent.key_.exchangeId_)) {
    aEvent.key_.linkId_ = aEntry.link_->Id();
    hooks_.sendRequest_(RequestEvent(std::forward<Event>(aEvent)));
  }
}

template<Detail::ResponseAlternative Event>
void
PeerService::Receive(LinkEntry& aEntry, Event&& aEvent)
{
  const auto attempt = attempts_.find(aEvent.key_.exchangeId_);
  // A response on another link than the attempt's own belongs to an attempt that ended.
  if (attempt == attempts_.end() || attempt->second.link_ != aEntry.link_) {
    return;
  }
  aEvent.key_.linkId_ = kLocalLink;
  ResponseEvent event(std::forward<Event>(aEvent));
  if (Detail::IsFinal(event)) {
    --aEntry.outboundOpen_;
    attempts_.erase(attempt);
  }
  hooks_.sendResponse_(std::move(event));
}

void
PeerService::Receive(LinkEntry& aEntry, CallRequest&& aCall)
{
  if (!hooks_.onCall_) {
    return;
  }
  auto reply = [this, linkId = aEntry.link_->Id(), callId = aCall.callId_](std::string aPayload) {
    mailbox_.Push(CallReplyCommand{ linkId, CallReply{ callId, std::move(aPayload) } });
  };
  hooks_.onCall_(aEntry.link_->Peer(), std::move(aCall.payload_), std::move(reply));
}

void
PeerService::Receive(LinkEntry& /*aEntry*/, CallReply&& aReply)
{
  const auto it = calls_.find(aReply.callId_);
  if (it == calls_.end()) {
    return;
  }
  if (const auto entry = links_.find(it->second.link_->Id()); entry != links_.end()) {
    --entry->second.outboundOpen_;
  }
  auto callback = std::move(it->second.callback_);
  calls_.erase(it);
  callback(std::move(aReply.payload_));
}

void
PeerService::OnClosed(const std::shared_ptr<Link>& aLink, std::string_view aReason)
{
  const bool rejected = IsRejection(aReason);
  (rejected ? linksRejected_ : linksLost_).Add();
  LogLine(rejected ? LogLevel::Warning : LogLevel::Info, "peer_link_closed")
    .With("link", aLink->Id())
    .With("instance", aLink->Peer().Empty() ? aLink->ExpectedId() : aLink->Peer().id_)
    .With("inbound", aLink->Inbound())
    .With("reason", aReason);
  if (aReason == kUnexpectedInstance) {
    OnReplaced(*aLink);
  }
  for (auto it = outbound_.begin(); it != outbound_.end();) {
    std::erase(it->second, aLink);
    it = it->second.empty() ? outbound_.erase(it) : std::next(it);
  }
  if (const auto found = links_.find(aLink->Id()); found != links_.end()) {
    auto entry = std::move(found->second);
    links_.erase(found);
    FailInbound(aLink->Id(), entry);
  }
  if (!aLink->Inbound()) {
    FailAttempts(aLink);
    FailCalls(aLink);
    // The attempts of this link have failed; those of another one go on.
    if (!aLink->ExpectedId().empty() && !IsLinkedTo(aLink->ExpectedId()) && !stopped_ &&
        hooks_.onPeerDown_) {
      hooks_.onPeerDown_(aLink->ExpectedId());
    }
  }
  OnWritten();
}

bool
PeerService::IsLinkedTo(const std::string& aInstanceId) const
{
  const auto open = outbound_.find(aInstanceId);
  return open != outbound_.end() &&
         std::any_of(open->second.begin(), open->second.end(), [](const auto& aLink) {
           return aLink->State() == LinkState::Established;
         });
}

void
PeerService::OnReplaced(const Link& aLink)
{
  const auto& members = view_.Get()->members_;
  std::erase_if(replaced_, [&](const auto& aItem) { return !members.contains(aItem.first); });
  if (const auto entry = links_.find(aLink.Id()); entry != links_.end()) {
    replaced_[aLink.ExpectedId()] = entry->second.incarnation_;
  }
}

void
PeerService::FailInbound(std::uint64_t aLinkId, LinkEntry& aEntry)
{
  for (const auto& [exchangeId, exchange] : aEntry.inbound_) {
    // A request that may not be repeated is left to finish if it runs: cancelling it would only add
    // doubt. If it is still queued, nobody waits for it any more.
    if (exchange.idempotent_) {
      hooks_.sendRequest_(RequestCancel{ { aLinkId, exchangeId } });
    } else {
      hooks_.sendRequest_(RequestRecall{ { aLinkId, exchangeId } });
    }
  }
}

void
PeerService::FailAttempts(const std::shared_ptr<Link>& aLink)
{
  std::vector<std::pair<std::uint64_t, bool>> failed;
  for (const auto& [exchangeId, attempt] : attempts_) {
    if (attempt.link_ == aLink) {
      failed.emplace_back(exchangeId, attempt.written_);
    }
  }
  for (const auto& [exchangeId, written] : failed) {
    attempts_.erase(exchangeId);
    Refuse(exchangeId,
           written ? Outcome::Unknown : Outcome::NotRun,
           written ? ErrorCode::LinkLost : ErrorCode::PeerUnreachable);
  }
}

void
PeerService::FailCalls(const std::shared_ptr<Link>& aLink)
{
  std::vector<std::pair<CallCallback, PeerError>> failed;
  std::erase_if(calls_, [&](auto& aCall) {
    if (aCall.second.link_ != aLink) {
      return false;
    }
    failed.emplace_back(std::move(aCall.second.callback_),
                        aCall.second.written_ ? PeerError::LinkLost : PeerError::Unreachable);
    return true;
  });
  for (auto& [callback, error] : failed) {
    callback(tl::unexpected(error));
  }
}

void
PeerService::Refuse(std::uint64_t aExchangeId, Outcome aOutcome, ErrorCode aCode)
{
  Refusal refusal;
  refusal.key_ = { kLocalLink, aExchangeId };
  refusal.outcome_ = aOutcome;
  refusal.code_ = aCode;
  hooks_.sendResponse_(std::move(refusal));
}

} // namespace redwing
