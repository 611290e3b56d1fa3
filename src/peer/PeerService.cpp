#include "peer/PeerService.hpp"

#include "core/Log.hpp"
#include "peer/PeerDetail.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace redwing {

namespace asio = boost::asio;
using boost::system::error_code;
using std::chrono::milliseconds;

namespace {

constexpr milliseconds kTickInterval{ 50 };
constexpr milliseconds kConnectTimeout{ 600 };
/// A tick this late means that this process was paused, which says nothing about its links.
constexpr milliseconds kOwnPause{ 300 };
/// Lateness of the event loop, and delay of a frame on its way, from which a log line is written.
constexpr milliseconds kLoggedLag{ 250 };
constexpr milliseconds kLoggedDelay{ 250 };
constexpr std::size_t kMaxLinksPerPeer = 2;
/// Open attempts on the first link from which a second one is opened.
constexpr std::size_t kSecondLinkThreshold = 64;

} // namespace

PeerService::PeerService(asio::io_context& aContext,
                         const Clock& aClock,
                         const Published<RoutingView>& aView,
                         CounterRegistry& aCounters,
                         PeerSettings aSettings,
                         PeerHooks aHooks)
  : context_(aContext)
  , clock_(aClock)
  , view_(aView)
  , settings_(std::move(aSettings))
  , hooks_(std::move(aHooks))
  , acceptor_(aContext, [this](asio::ip::tcp::socket aSocket) { Adopt(std::move(aSocket)); })
  , timer_(aContext)
  , mailbox_(settings_.queueCapacity_)
  , loopLag_("loop_lag", kLoggedLag, aCounters)
  , frameDelays_("peer_frame_delay", kLoggedDelay, aCounters)
  , linksOpened_(aCounters.GetCounter("redwing_peer_links_opened_total"))
  , linksLost_(aCounters.GetCounter("redwing_peer_links_lost_total"))
  , linksStalled_(aCounters.GetCounter("redwing_peer_links_stalled_total"))
  , linksRejected_(aCounters.GetCounter("redwing_peer_links_rejected_total"))
  , requestsSent_(aCounters.GetCounter("redwing_peer_requests_sent_total"))
  , requestsReceived_(aCounters.GetCounter("redwing_peer_requests_received_total"))
{
  mailbox_.SetWake([this] { asio::post(context_, [this] { Drain(); }); });
}

PeerService::~PeerService()
{
  // A handler may keep a link for longer than the budget lives.
  for (const auto& [id, entry] : links_) {
    entry.link_->SetBounds(nullptr, 0);
  }
}

bool
PeerService::Start()
{
  const auto bound = acceptor_.Listen(settings_.peersAddress_);
  if (!bound) {
    LogLine(LogLevel::Error, "peer_bind_failed")
      .With("address", settings_.peersAddress_.ToString())
      .With("error", bound.error());
    return false;
  }
  port_ = bound->port_;
  lastTick_ = clock_.Now();
  Tick();
  return true;
}

void
PeerService::Stop()
{
  asio::post(context_, [this] {
    stopped_ = true;
    acceptor_.Close();
    timer_.cancel();
    std::vector<std::shared_ptr<Link>> open;
    for (auto& [id, entry] : links_) {
      open.push_back(entry.link_);
    }
    for (auto& link : open) {
      link->Close("stopped");
    }
  });
}

void
PeerService::AwaitWritten(std::function<void()> aDone)
{
  asio::post(context_, [this, done = std::move(aDone)]() mutable {
    written_ = std::move(done);
    Drain();
    OnWritten();
  });
}

void
PeerService::OnWritten()
{
  const bool writes = std::any_of(
    links_.begin(), links_.end(), [](const auto& aEntry) { return aEntry.second.link_->Writes(); });
  if (written_ && !writes) {
    std::exchange(written_, nullptr)();
  }
}

bool
PeerService::TryStart(const std::string& aInstanceId, RequestStart&& aStart)
{
  OutboundCommand command{ aInstanceId, std::move(aStart) };
  Command wrapped(std::move(command));
  if (mailbox_.TryPush(std::move(wrapped))) {
    return true;
  }
  // Not taken: the caller gets its event back.
  aStart = std::get<RequestStart>(std::move(std::get<OutboundCommand>(wrapped).event_));
  return false;
}

void
PeerService::Send(const std::string& aInstanceId, RequestEvent&& aEvent)
{
  mailbox_.Push(OutboundCommand{ aInstanceId, std::move(aEvent) });
}

void
PeerService::Respond(ResponseEvent&& aEvent)
{
  mailbox_.Push(Command(std::move(aEvent)));
}

void
PeerService::Call(CallTarget aTarget,
                  std::string aPayload,
                  Duration aTimeout,
                  CallCallback aCallback)
{
  mailbox_.Push(
    CallCommand{ std::move(aTarget), std::move(aPayload), aTimeout, std::move(aCallback) });
}

void
PeerService::Adopt(asio::ip::tcp::socket aSocket)
{
  const auto inbound = std::count_if(links_.begin(), links_.end(), [](const auto& aEntry) {
    return aEntry.second.link_->Inbound();
  });
  if (settings_.maxInboundLinks_ > 0 &&
      static_cast<std::size_t>(inbound) >= settings_.maxInboundLinks_ && !CloseSilentLink()) {
    linksRejected_.Add();
    return;
  }
  const auto id = nextLinkId_++;
  LinkObserver& observer = *this;
  auto link = std::make_shared<Link>(
    std::move(aSocket),
    id,
    Handshake(Handshake::Side::Acceptor, settings_.self_, settings_.fleetKey_),
    clock_,
    observer);
  link->SetBounds(settings_.memory_, settings_.socketBufferBytes_);
  links_[id].link_ = link;
  link->Accept();
}

bool
PeerService::CloseSilentLink()
{
  std::shared_ptr<Link> oldest;
  for (const auto& [id, entry] : links_) {
    const bool unused = entry.link_->Inbound() && entry.link_->State() == LinkState::Established &&
                        entry.inbound_.empty() && entry.outboundOpen_ == 0 &&
                        !entry.link_->Writes() && !entry.link_->HasUnread();
    if (unused && (!oldest || entry.link_->LastReceived() < oldest->LastReceived())) {
      oldest = entry.link_;
    }
  }
  if (!oldest || clock_.Now() - oldest->LastReceived() < settings_.silentLink_) {
    return false;
  }
  oldest->Close("silent");
  return true;
}

void
PeerService::Tick()
{
  timer_.expires_after(kTickInterval);
  timer_.async_wait([this](error_code aError) {
    if (aError || stopped_) {
      return;
    }
    const auto now = clock_.Now();
    loopLag_.Add(now - lastTick_ - kTickInterval, now);
    if (now - lastTick_ > kOwnPause) {
      for (auto& [id, entry] : links_) {
        entry.link_->ResetProgress(now);
      }
    }
    lastTick_ = now;
    CheckProgress(now);
    ExpireCalls(now);
    Tick();
  });
}

void
PeerService::CheckProgress(TimePoint aNow)
{
  std::vector<std::pair<std::shared_ptr<Link>, std::string_view>> failed;
  for (auto& [id, entry] : links_) {
    auto& link = *entry.link_;
    if (link.State() == LinkState::Connecting) {
      if (aNow - link.Started() > kConnectTimeout) {
        failed.emplace_back(entry.link_, "connect_timeout");
      }
    } else if (entry.outboundOpen_ > 0) {
      if (aNow - link.LastReceived() > settings_.progressTimeout_) {
        linksStalled_.Add();
        failed.emplace_back(entry.link_, "stalled");
      } else if (aNow - std::max(entry.lastPing_, link.LastReceived()) >= settings_.pingInterval_) {
        entry.lastPing_ = aNow;
        link.Send(Ping{});
      }
    } else if (!link.Inbound()) {
      // The time without open exchanges does not count as lack of progress.
      link.ResetProgress(aNow);
    }
  }
  for (auto& [link, reason] : failed) {
    link->Close(reason);
  }
}

void
PeerService::ExpireCalls(TimePoint aNow)
{
  std::vector<CallCallback> expired;
  for (auto it = calls_.begin(); it != calls_.end();) {
    if (aNow < it->second.deadline_) {
      ++it;
      continue;
    }
    if (const auto entry = links_.find(it->second.link_->Id()); entry != links_.end()) {
      --entry->second.outboundOpen_;
    }
    expired.push_back(std::move(it->second.callback_));
    it = calls_.erase(it);
  }
  for (auto& callback : expired) {
    callback(tl::unexpected(PeerError::TimedOut));
  }
}

void
PeerService::Drain()
{
  mailbox_.Drain([this](Command&& aCommand) {
    std::visit([this](auto& aAlternative) { Execute(std::move(aAlternative)); }, aCommand);
  });
}

void
PeerService::Execute(OutboundCommand&& aCommand)
{
  if (auto* start = std::get_if<RequestStart>(&aCommand.event_)) {
    StartAttempt(aCommand.instanceId_, std::move(*start));
    return;
  }
  const auto attempt = attempts_.find(KeyOf(aCommand.event_).exchangeId_);
  if (attempt == attempts_.end() || attempt->second.instanceId_ != aCommand.instanceId_) {
    return;
  }
  std::visit([&](auto& aEvent) { attempt->second.link_->Send(std::move(aEvent)); },
             aCommand.event_);
}

void
PeerService::StartAttempt(const std::string& aInstanceId, RequestStart&& aStart)
{
  const auto exchangeId = aStart.key_.exchangeId_;
  auto link = LinkTo(aInstanceId);
  if (!link) {
    Refuse(exchangeId, Outcome::NotRun, ErrorCode::PeerUnreachable);
    return;
  }
  attempts_[exchangeId] = Attempt{ aInstanceId, link, false };
  auto& entry = links_[link->Id()];
  if (entry.outboundOpen_++ == 0) {
    entry.lastPing_ = clock_.Now();
    link->ResetProgress(entry.lastPing_);
  }
  link->Send(std::move(aStart));
}

void
PeerService::Execute(ResponseEvent&& aEvent)
{
  const auto key = KeyOf(aEvent);
  const auto entry = links_.find(key.linkId_);
  if (entry == links_.end() || !entry->second.inbound_.contains(key.exchangeId_)) {
    return;
  }
  if (Detail::IsFinal(aEvent)) {
    entry->second.inbound_.erase(key.exchangeId_);
  }
  std::visit([&](auto& aAlternative) { entry->second.link_->Send(std::move(aAlternative)); },
             aEvent);
}

void
PeerService::Execute(CallCommand&& aCommand)
{
  auto link = std::visit(
    Detail::Overloaded{ [this](const std::string& aInstanceId) { return LinkTo(aInstanceId); },
                        [this](const Address& aAddress) { return OpenLink(aAddress, {}); } },
    aCommand.target_);
  if (!link) {
    aCommand.callback_(tl::unexpected(PeerError::Unreachable));
    return;
  }
  const auto id = nextCallId_++;
  const auto now = clock_.Now();
  calls_[id] = OpenCall{ link, false, now + aCommand.timeout_, std::move(aCommand.callback_) };
  auto& entry = links_[link->Id()];
  if (entry.outboundOpen_++ == 0) {
    entry.lastPing_ = now;
    link->ResetProgress(now);
  }
  link->Send(CallRequest{ id, std::move(aCommand.payload_) });
}

void
PeerService::Execute(CallReplyCommand&& aCommand)
{
  if (const auto entry = links_.find(aCommand.linkId_); entry != links_.end()) {
    entry->second.link_->Send(std::move(aCommand.reply_));
  }
}

std::shared_ptr<Link>
PeerService::LinkTo(const std::string& aInstanceId)
{
  auto& open = outbound_[aInstanceId];
  const auto load = [this](const auto& aLink) { return links_[aLink->Id()].outboundOpen_; };
  const auto best =
    std::min_element(open.begin(), open.end(), [&](const auto& aLeft, const auto& aRight) {
      return load(aLeft) < load(aRight);
    });
  if (best != open.end() &&
      (open.size() >= kMaxLinksPerPeer || load(*best) < kSecondLinkThreshold)) {
    return *best;
  }
  const auto& members = view_.Get()->members_;
  const auto member = members.find(aInstanceId);
  if (member == members.end() || IsReplaced(aInstanceId, member->second)) {
    return best != open.end() ? *best : nullptr;
  }
  auto link = OpenLink(member->second.peersAddress_, aInstanceId);
  links_[link->Id()].incarnation_ = member->second.ref_.incarnation_;
  return link;
}

bool
PeerService::IsReplaced(const std::string& aInstanceId, const Member& aMember) const
{
  const auto replaced = replaced_.find(aInstanceId);
  return replaced != replaced_.end() && replaced->second == aMember.ref_.incarnation_;
}

std::shared_ptr<Link>
PeerService::OpenLink(const Address& aAddress, const std::string& aInstanceId)
{
  const std::string& slot = aInstanceId.empty() ? aAddress.ToString() : aInstanceId;
  auto& open = outbound_[slot];
  if (aInstanceId.empty() && !open.empty()) {
    return open.front();
  }
  const auto id = nextLinkId_++;
  LinkObserver& observer = *this;
  auto link = std::make_shared<Link>(
    asio::ip::tcp::socket(context_),
    id,
    Handshake(Handshake::Side::Initiator, settings_.self_, settings_.fleetKey_),
    clock_,
    observer);
  link->SetBounds(settings_.memory_, settings_.socketBufferBytes_);
  links_[id].link_ = link;
  open.push_back(link);
  // Peers and firewalls recognise the instance by the address it is known under.
  link->Connect(aAddress, aInstanceId, settings_.peersAddress_.ip_);
  return link;
}

} // namespace redwing
