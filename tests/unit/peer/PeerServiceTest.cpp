#include "peer/PeerService.hpp"

#include "core/SteadyClock.hpp"
#include "support/Inbox.hpp"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace redwing;
using namespace std::chrono_literals;
using redwing::test::Inbox;
namespace asio = boost::asio;

namespace {

/// A machine without free processors may give a thread none for longer than the usual time without
/// progress; only tests of stalled links use that.
constexpr auto kNoStall = 20s;

class Node
{
public:
  Node(std::string aId,
       std::string aFleetKey,
       std::chrono::milliseconds aProgressTimeout = kNoStall,
       std::size_t aMaxInboundLinks = 0,
       std::chrono::milliseconds aSilentLink = 10s)
    : view_(std::make_shared<RoutingView>())
    , service_(context_,
               clock_,
               view_,
               counters_,
               { { aId, 1 },
                 { "127.0.0.1", 0 },
                 std::move(aFleetKey),
                 1024,
                 aProgressTimeout,
                 200ms,
                 aMaxInboundLinks,
                 0,
                 &memory_,
                 aSilentLink },
               { [this](RequestStart&& aStart) {
                  requests_.Add(std::move(aStart));
                  return accept_.load();
                },
                 [this](RequestEvent&& aEvent) { events_.Add(std::move(aEvent)); },
                 [this](ResponseEvent&& aEvent) { responses_.Add(std::move(aEvent)); },
                 [this](const std::string& aPeer) { down_.Add(aPeer); },
                 [](const InstanceRef& aFrom, std::string aPayload, CallReplyHook aReply) {
                   aReply(aFrom.id_ + ":" + aPayload);
                 } })
  {
    BOOST_REQUIRE(service_.Start());
    thread_ = std::thread([this] { context_.run(); });
  }
  ~Node()
  {
    service_.Stop();
    context_.stop();
    thread_.join();
  }
  void Knows(const std::string& aId, std::uint16_t aPort, std::uint64_t aIncarnation = 1)
  {
    auto view = std::make_shared<RoutingView>(*view_.Get());
    view->members_[aId].ref_ = { aId, aIncarnation };
    view->members_[aId].peersAddress_ = { "127.0.0.1", aPort };
    view_.Set(view);
  }

  asio::io_context context_;
  asio::executor_work_guard<asio::io_context::executor_type> work_{ context_.get_executor() };
  SteadyClock clock_;
  CounterRegistry counters_;
  MemoryBudget memory_{ 40 * 1024 * 1024, counters_ };
  Published<RoutingView> view_;
  std::atomic<bool> accept_{ true };
  Inbox<RequestStart> requests_;
  Inbox<RequestEvent> events_;
  Inbox<ResponseEvent> responses_;
  Inbox<std::string> down_;
  PeerService service_;
  std::thread thread_;
};

RequestStart
MakeStart(std::uint64_t aId, bool aIdempotent = false)
{
  RequestStart start;
  start.key_ = { kLocalLink, aId };
  start.requestId_ = std::to_string(aId);
  start.deadline_ = SteadyClock().Now() + 10s;
  start.idempotent_ = aIdempotent;
  return start;
}

ResponseStart
MakeResponse(const RequestStart& aRequest)
{
  ResponseStart response;
  response.key_ = aRequest.key_;
  response.status_ = 200;
  response.body_ = "response to " + aRequest.requestId_;
  return response;
}

/// Relays one connection, which it can stall or kill.
class FaultyRelay
{
public:
  explicit FaultyRelay(std::uint16_t aTargetPort)
    : acceptor_(context_, { asio::ip::make_address("127.0.0.1"), 0 })
    , targetPort_(aTargetPort)
  {
  }
  std::uint16_t Port() { return acceptor_.local_endpoint().port(); }

  /// Accepts the connection and relays it.
  void Relay()
  {
    inner_.emplace(context_);
    outer_.emplace(acceptor_.accept());
    inner_->connect({ asio::ip::make_address("127.0.0.1"), targetPort_ });
    Pump(*outer_, *inner_, toInner_);
    Pump(*inner_, *outer_, toOuter_);
    thread_ = std::thread([this] { context_.run(); });
  }
  void Stall() { stalled_ = true; }
  void Kill()
  {
    asio::post(context_, [this] {
      outer_->close();
      inner_->close();
    });
  }
  ~FaultyRelay()
  {
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

private:
  using Socket = asio::ip::tcp::socket;
  void Pump(Socket& aFrom, Socket& aTo, std::array<char, 65536>& aBuffer)
  {
    aFrom.async_read_some(asio::buffer(aBuffer), [&](auto aError, std::size_t aSize) {
      if (aError || stalled_) {
        return;
      }
      boost::system::error_code error;
      asio::write(aTo, asio::buffer(aBuffer, aSize), error);
      if (!error) {
        Pump(aFrom, aTo, aBuffer);
      }
    });
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::uint16_t targetPort_;
  std::optional<Socket> outer_;
  std::optional<Socket> inner_;
  std::array<char, 65536> toInner_{};
  std::array<char, 65536> toOuter_{};
  std::atomic<bool> stalled_{ false };
  std::thread thread_;
};

} // namespace

// Guards against the loss of all requests at an instance when one of two links to it ends, such as
// a second one that the instance has no room for.
BOOST_AUTO_TEST_CASE(TheEndOfOneLinkLeavesTheRequestsOfAnother)
{
  constexpr std::uint64_t kOnFirstLink = 64;
  Node a("a", "k");
  Node b("b", "k", kNoStall, 1);
  a.Knows("b", b.service_.Port());
  for (std::uint64_t id = 1; id <= kOnFirstLink; ++id) {
    BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(id)));
  }
  b.requests_.Await(kOnFirstLink);
  BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(kOnFirstLink + 1)));
  const auto refused = a.responses_.Await(1).front();
  BOOST_REQUIRE(std::holds_alternative<Refusal>(refused));
  BOOST_CHECK(std::get<Refusal>(refused).outcome_ == Outcome::NotRun);
  for (const RequestStart& request : b.requests_.Await(kOnFirstLink)) {
    b.service_.Respond(MakeResponse(request));
  }
  a.responses_.Await(kOnFirstLink + 1);
  BOOST_TEST(a.down_.Size() == 0U);
}

// Guards against dropping the last response of an instance that stops once all requests have ended.
BOOST_AUTO_TEST_CASE(TheLastResponseIsWrittenBeforeTheEventLoopStops)
{
  Node caller("a", "key");
  Node serving("b", "key");
  caller.Knows("b", serving.service_.Port());
  BOOST_REQUIRE(caller.service_.TryStart("b", MakeStart(1)));
  const RequestStart request = serving.requests_.Await(1).front();
  asio::post(serving.context_, [&] {
    serving.service_.Respond(MakeResponse(request));
    serving.service_.AwaitWritten([&] { serving.context_.stop(); });
  });
  const ResponseEvent response = caller.responses_.Await(1).front();
  BOOST_REQUIRE(std::holds_alternative<ResponseStart>(response));
  BOOST_TEST(std::get<ResponseStart>(response).body_ == "response to 1");
}

// Guards against crossed responses: many requests answered in reverse order must each get their
// own.
BOOST_AUTO_TEST_CASE(ResponsesReachTheirRequestsInAnyOrder)
{
  constexpr std::uint64_t kRequests = 500;
  Node a("a", "key");
  Node b("b", "key");
  a.Knows("b", b.service_.Port());
  for (std::uint64_t id = 1; id <= kRequests; ++id) {
    BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(id)));
  }
  auto requests = b.requests_.Await(kRequests);
  for (auto it = requests.rbegin(); it != requests.rend(); ++it) {
    BOOST_TEST(it->key_.linkId_ != kLocalLink);
    b.service_.Respond(MakeResponse(*it));
  }
  for (const auto& event : a.responses_.Await(kRequests)) {
    const auto& response = std::get<ResponseStart>(event);
    BOOST_TEST(response.key_.linkId_ == kLocalLink);
    BOOST_TEST(response.body_ == "response to " + std::to_string(response.key_.exchangeId_));
  }
}

// Guards against accepting a peer without the fleet key, and against calling its requests unknown.
BOOST_AUTO_TEST_CASE(PeerWithAnotherKeyIsRejectedAndNothingRan)
{
  Node a("a", "key");
  Node b("b", "other key");
  a.Knows("b", b.service_.Port());
  BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(1)));
  const auto refusal = std::get<Refusal>(a.responses_.Await(1).front());
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  BOOST_TEST((refusal.code_ == ErrorCode::PeerUnreachable));
  BOOST_TEST(a.down_.Await(1).front() == "b");
  BOOST_TEST(a.counters_.GetCounter("redwing_peer_links_rejected_total").Value() == 1U);
}

// Guards against links that take the descriptors of the process, and against bytes on links that
// nobody counts.
BOOST_AUTO_TEST_CASE(LinksOfOtherInstancesAreBoundedAndCounted)
{
  Node serving("s", "key", kNoStall, 1);
  Node first("a", "key");
  Node second("b", "key");
  for (Node* node : { &first, &second }) {
    node->Knows("s", serving.service_.Port());
  }
  BOOST_REQUIRE(first.service_.TryStart("s", MakeStart(1)));
  const RequestStart request = serving.requests_.Await(1).front();
  BOOST_TEST(
    serving.counters_.GetGauge("redwing_memory_held_bytes", "holder=\"peer_links\"").Value() > 0);
  BOOST_REQUIRE(second.service_.TryStart("s", MakeStart(2)));
  const auto refusal = std::get<Refusal>(second.responses_.Await(1).front());
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  serving.service_.Respond(MakeResponse(request));
  BOOST_TEST(std::holds_alternative<ResponseStart>(first.responses_.Await(1).front()));
}

// Guards against a false "not run" when the link dies after a request was written, against
// cancelling a non-idempotent request that runs, and against running one for nobody.
BOOST_AUTO_TEST_CASE(LostLinkMakesWrittenRequestsUnknown)
{
  Node a("a", "key");
  Node b("b", "key");
  FaultyRelay relay(b.service_.Port());
  a.Knows("b", relay.Port());
  BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(1, false)));
  BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(2, true)));
  relay.Relay();
  b.requests_.Await(2);
  relay.Kill();
  for (const auto& event : a.responses_.Await(2)) {
    BOOST_TEST((std::get<Refusal>(event).outcome_ == Outcome::Unknown));
    BOOST_TEST((std::get<Refusal>(event).code_ == ErrorCode::LinkLost));
  }
  const auto events = b.events_.Await(2);
  BOOST_TEST(events.size() == 2U);
  for (const RequestEvent& event : events) {
    const bool idempotent = KeyOf(event).exchangeId_ == 2;
    BOOST_TEST(std::holds_alternative<RequestCancel>(event) == idempotent);
    BOOST_TEST(std::holds_alternative<RequestRecall>(event) == !idempotent);
  }
}

// Guards against a handshake with a stranger for each request to, or probe of, a member whose
// address was given to another instance.
BOOST_AUTO_TEST_CASE(AddressOfAnotherInstanceIsTriedOnceForEachIncarnation)
{
  Node a("a", "key");
  Node b("b", "key");
  const auto& rejected = a.counters_.GetCounter("redwing_peer_links_rejected_total");
  a.Knows("gone", b.service_.Port());
  for (std::uint64_t id = 1; id <= 3; ++id) {
    BOOST_REQUIRE(a.service_.TryStart("gone", MakeStart(id)));
    const auto refusal = std::get<Refusal>(a.responses_.Await(id).back());
    BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
    BOOST_TEST((refusal.code_ == ErrorCode::PeerUnreachable));
  }
  BOOST_TEST(rejected.Value() == 1U);
  a.Knows("gone", b.service_.Port(), 2);
  BOOST_REQUIRE(a.service_.TryStart("gone", MakeStart(4)));
  a.responses_.Await(4);
  BOOST_TEST(rejected.Value() == 2U);
}

// Guards against links of instances that are gone without a word and that keep others out for ever,
// and against the loss of a link that is in use.
BOOST_AUTO_TEST_CASE(ASilentInboundLinkGivesWay)
{
  Node serving("s", "key", kNoStall, 1, 1ms);
  Node a("a", "key");
  Node b("b", "key");
  a.Knows("s", serving.service_.Port());
  b.Knows("s", serving.service_.Port());
  BOOST_REQUIRE(a.service_.TryStart("s", MakeStart(1)));
  serving.requests_.Await(1);
  BOOST_REQUIRE(b.service_.TryStart("s", MakeStart(2)));
  BOOST_TEST((std::get<Refusal>(b.responses_.Await(1).back()).outcome_ == Outcome::NotRun));
  serving.service_.Respond(MakeResponse(serving.requests_.Await(1).back()));
  a.responses_.Await(1);
  std::this_thread::sleep_for(50ms);
  BOOST_REQUIRE(b.service_.TryStart("s", MakeStart(3)));
  serving.requests_.Await(2);
  // By default a link that was idle for a moment stays.
  Node patient("p", "key", kNoStall, 1);
  a.Knows("p", patient.service_.Port());
  b.Knows("p", patient.service_.Port());
  BOOST_REQUIRE(a.service_.TryStart("p", MakeStart(4)));
  patient.service_.Respond(MakeResponse(patient.requests_.Await(1).back()));
  a.responses_.Await(2);
  BOOST_REQUIRE(b.service_.TryStart("p", MakeStart(5)));
  BOOST_TEST((std::get<Refusal>(b.responses_.Await(2).back()).outcome_ == Outcome::NotRun));
}

// Guards against requests that hang on a link which stays open but delivers nothing.
BOOST_AUTO_TEST_CASE(StalledLinkIsReplaced)
{
  Node a("a", "key", PeerSettings{}.progressTimeout_);
  Node b("b", "key");
  FaultyRelay relay(b.service_.Port());
  a.Knows("b", relay.Port());
  BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(1)));
  relay.Relay();
  b.requests_.Await(1);
  relay.Stall();
  const auto refusal = std::get<Refusal>(a.responses_.Await(1).front());
  BOOST_TEST((refusal.outcome_ == Outcome::Unknown));
  BOOST_TEST(a.counters_.GetCounter("redwing_peer_links_stalled_total").Value() == 1U);
  a.Knows("b", b.service_.Port());
  BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(2)));
  b.service_.Respond(MakeResponse(b.requests_.Await(2).back()));
  BOOST_TEST(std::get<ResponseStart>(a.responses_.Await(2).back()).status_ == 200);
}

// Guards against a full backend queue that leaves the caller without an answer.
BOOST_AUTO_TEST_CASE(FullQueueAtTheReceiverIsNotRun)
{
  Node a("a", "key");
  Node b("b", "key");
  a.Knows("b", b.service_.Port());
  b.accept_ = false;
  BOOST_REQUIRE(a.service_.TryStart("b", MakeStart(1)));
  const auto refusal = std::get<Refusal>(a.responses_.Await(1).front());
  BOOST_TEST((refusal.outcome_ == Outcome::NotRun));
  BOOST_TEST((refusal.code_ == ErrorCode::QueueFull));
}

// Guards against control calls whose callback is lost.
BOOST_AUTO_TEST_CASE(CallsAreAnsweredByIdAndAddress)
{
  Node a("a", "key");
  Node b("b", "key");
  a.Knows("b", b.service_.Port());
  Inbox<tl::expected<std::string, PeerError>> replies;
  const auto collect = [&](auto aReply) { replies.Add(std::move(aReply)); };
  a.service_.Call(std::string("b"), "one", 5s, collect);
  BOOST_TEST(replies.Await(1).back().value() == "a:one");
  a.service_.Call(Address{ "127.0.0.1", b.service_.Port() }, "two", 5s, collect);
  BOOST_TEST(replies.Await(2).back().value() == "a:two");
  a.service_.Call(std::string("nobody"), "three", 5s, collect);
  BOOST_TEST((replies.Await(3).back().error() == PeerError::Unreachable));
}
