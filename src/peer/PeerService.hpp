#pragma once

#include "core/Address.hpp"
#include "core/Clock.hpp"
#include "core/ConnectionAcceptor.hpp"
#include "core/Counters.hpp"
#include "core/DelayLog.hpp"
#include "core/Mailbox.hpp"
#include "core/MemoryBudget.hpp"
#include "core/Published.hpp"
#include "exchange/Events.hpp"
#include "peer/Link.hpp"
#include "peer/PeerDetail.hpp"
#include "routing/RoutingView.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <tl/expected.hpp>
#include <unordered_map>
#include <variant>
#include <vector>

namespace redwing {

enum class PeerError : std::uint8_t
{
  /// No link could be established; the call was not sent.
  Unreachable,
  /// The link was lost after the call may have been sent.
  LinkLost,
  TimedOut,
};

struct PeerSettings
{
  InstanceRef self_;
  /// Port 0 lets the system choose one.
  Address peersAddress_;
  std::string fleetKey_;
  /// New requests that may wait for the peer thread.
  std::size_t queueCapacity_ = 8192;
  /// A link with open exchanges that delivers nothing for this long, pongs included, is stalled.
  std::chrono::milliseconds progressTimeout_{ 600 };
  /// Silence of a link with open exchanges after which it is asked for a sign of life.
  std::chrono::milliseconds pingInterval_{ 200 };
  /// Most links that other instances may open; 0: no limit.
  std::size_t maxInboundLinks_ = 0;
  /// What the system holds for each link in each direction; 0: as it does by itself.
  int socketBufferBytes_ = 0;
  /// Accounts for messages that wait on links, on the thread of the service; null: no limit.
  MemoryBudget* memory_ = nullptr;
  /// An unused inbound link that was silent for this long gives way to a new one. The instance at
  /// its other end may be gone without a word, or opens another link when it needs one.
  std::chrono::milliseconds silentLink_{ 10'000 };
};

using CallReplyHook = std::function<void(std::string)>;
using CallCallback = std::function<void(tl::expected<std::string, PeerError>)>;

struct PeerHooks
{
  /// Inbound requests; key_.linkId_ is the id of the inbound link.
  TryStartLocal tryStartLocal_;
  SendRequestEvent sendRequest_;
  /// Events for our own attempts; key_.linkId_ is kLocalLink.
  SendResponseEvent sendResponse_;
  /// Called when the last established link to an instance was lost, after its attempts have failed.
  std::function<void(const std::string& aInstanceId)> onPeerDown_;
  /// Control calls; the reply may be called later, once, from any thread.
  std::function<void(const InstanceRef& aFrom, std::string aPayload, CallReplyHook aReply)> onCall_;
};

/// Where a call goes: an instance id, or the address of an instance whose id is not known yet.
using CallTarget = std::variant<std::string, Address>;

/// Authenticated, multiplexed TCP links to other instances.
///
/// An instance carries its own attempts and calls on links that it opened, and serves those of
/// others on the links that they opened. The owner runs the io_context on one thread.
class PeerService : private LinkObserver
{
public:
  PeerService(boost::asio::io_context& aContext,
              const Clock& aClock,
              const Published<RoutingView>& aView,
              CounterRegistry& aCounters,
              PeerSettings aSettings,
              PeerHooks aHooks);
  ~PeerService() override;

  /// Binds the peers' address and starts to accept; returns false if it can't be bound.
  ///
  /// Preconditions: called once before the io_context runs. Thread safety: not thread-safe.
  bool Start();

  /// Closes all links and the acceptor.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void Stop();

  /// Calls aDone once all events and calls that were passed on before have been written to their
  /// links, or the links were closed.
  ///
  /// Preconditions: called once. Thread safety: callable from any thread.
  void AwaitWritten(std::function<void()> aDone);

  /// Returns the bound port.
  ///
  /// Preconditions: Start returned true. Thread safety: callable from any thread.
  std::uint16_t Port() const { return port_; }

  /// Starts an attempt at aInstanceId; returns false, without taking it, when the queue is full.
  ///
  /// Preconditions: exchangeId_ is unique among the open attempts. Thread safety: any thread.
  bool TryStart(const std::string& aInstanceId, RequestStart&& aStart);

  /// Sends a later event of a started attempt.
  ///
  /// Preconditions: TryStart returned true for its exchange. Thread safety: any thread.
  void Send(const std::string& aInstanceId, RequestEvent&& aEvent);

  /// Sends an event of an inbound exchange to its caller's instance.
  ///
  /// Preconditions: linkId_ is that of an inbound link. Thread safety: any thread.
  void Respond(ResponseEvent&& aEvent);

  /// Sends aPayload to aTarget; aCallback is called once, on the peer thread.
  ///
  /// Preconditions: aPayload is smaller than a frame. Thread safety: any thread.
  void Call(CallTarget aTarget, std::string aPayload, Duration aTimeout, CallCallback aCallback);

private:
  struct Attempt
  {
    std::string instanceId_;
    std::shared_ptr<Link> link_;
    bool written_ = false;
  };
  struct OpenCall
  {
    std::shared_ptr<Link> link_;
    bool written_ = false;
    TimePoint deadline_;
    CallCallback callback_;
  };
  struct InboundExchange
  {
    bool idempotent_ = false;
  };
  struct LinkEntry
  {
    std::shared_ptr<Link> link_;
    std::unordered_map<std::uint64_t, InboundExchange> inbound_;
    std::size_t outboundOpen_ = 0;
    TimePoint lastPing_{};
    /// Incarnation of the member that the link was opened to.
    std::uint64_t incarnation_ = 0;
  };
  struct OutboundCommand
  {
    std::string instanceId_;
    RequestEvent event_;
  };
  struct CallCommand
  {
    CallTarget target_;
    std::string payload_;
    Duration timeout_;
    CallCallback callback_;
  };
  struct CallReplyCommand
  {
    std::uint64_t linkId_ = 0;
    CallReply reply_;
  };
  using Command = std::variant<OutboundCommand, ResponseEvent, CallCommand, CallReplyCommand>;

  void OnEstablished(const std::shared_ptr<Link>& aLink) override;
  void OnMessage(const std::shared_ptr<Link>& aLink, LinkMessage&& aMessage) override;
  void OnWriting(const std::shared_ptr<Link>& aLink, const LinkMessage& aMessage) override;
  void OnDelayed(const std::shared_ptr<Link>& aLink, Duration aDelay) override;
  void OnWritten() override;
  void OnClosed(const std::shared_ptr<Link>& aLink, std::string_view aReason) override;

  void Adopt(boost::asio::ip::tcp::socket aSocket);
  /// Closes the unused inbound link that was silent longest, if it was for long; returns whether it
  /// did.
  bool CloseSilentLink();
  void Tick();
  void CheckProgress(TimePoint aNow);
  void ExpireCalls(TimePoint aNow);
  void Drain();
  void Execute(OutboundCommand&& aCommand);
  void Execute(ResponseEvent&& aEvent);
  void Execute(CallCommand&& aCommand);
  void Execute(CallReplyCommand&& aCommand);
  void StartAttempt(const std::string& aInstanceId, RequestStart&& aStart);

  void Receive(LinkEntry& aEntry, RequestStart&& aEvent);
  void Receive(LinkEntry& aEntry, Ping&& aPing);
  void Receive(LinkEntry& aEntry, Pong&& aPong);
  void Receive(LinkEntry& aEntry, CallRequest&& aCall);
  void Receive(LinkEntry& aEntry, CallReply&& aReply);
  template<Detail::RequestAlternative Event>
  void Receive(LinkEntry& aEntry, Event&& aEvent);
  template<Detail::ResponseAlternative Event>
  void Receive(LinkEntry& aEntry, Event&& aEvent);

  std::shared_ptr<Link> LinkTo(const std::string& aInstanceId);
  /// Returns whether another instance was found at the address of aMember,
  /// which is known as aInstanceId.
  bool IsReplaced(const std::string& aInstanceId, const Member& aMember) const;
  void OnReplaced(const Link& aLink);
  /// Returns whether a link that this instance opened to aInstanceId is established.
  bool IsLinkedTo(const std::string& aInstanceId) const;
  std::shared_ptr<Link> OpenLink(const Address& aAddress, const std::string& aInstanceId);
  void FailAttempts(const std::shared_ptr<Link>& aLink);
  void FailCalls(const std::shared_ptr<Link>& aLink);
  void FailInbound(std::uint64_t aLinkId, LinkEntry& aEntry);
  void Refuse(std::uint64_t aExchangeId, Outcome aOutcome, ErrorCode aCode);

  boost::asio::io_context& context_;
  const Clock& clock_;
  PublishedReader<RoutingView> view_;
  PeerSettings settings_;
  PeerHooks hooks_;
  ConnectionAcceptor acceptor_;
  boost::asio::steady_timer timer_;
  Mailbox<Command> mailbox_;
  std::uint16_t port_ = 0;
  bool stopped_ = false;
  /// Waits until all links have written what was passed on.
  std::function<void()> written_;
  std::uint64_t nextLinkId_ = kLocalLink + 1;
  std::uint64_t nextCallId_ = 1;
  TimePoint lastTick_{};
  std::unordered_map<std::uint64_t, LinkEntry> links_;
  std::unordered_map<std::string, std::vector<std::shared_ptr<Link>>> outbound_;
  /// Incarnations of members at whose addresses other instances were found, by instance id.
  std::unordered_map<std::string, std::uint64_t> replaced_;
  std::unordered_map<std::uint64_t, Attempt> attempts_;
  std::map<std::uint64_t, OpenCall> calls_;
  DelayLog loopLag_;
  DelayLog frameDelays_;
  Counter& linksOpened_;
  Counter& linksLost_;
  Counter& linksStalled_;
  Counter& linksRejected_;
  Counter& requestsSent_;
  Counter& requestsReceived_;
};

} // namespace redwing
