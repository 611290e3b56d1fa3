#include "IntakeFixture.hpp"

#include <functional>
#include <thread>

using namespace redwing;
using namespace redwing::test;

namespace {

using std::chrono::milliseconds;

/// Callers whose bytes and closes reach the service while its event loop does not run.
struct OverloadFixture : IntakeFixture
{
  using Socket = boost::asio::ip::tcp::socket;

  Socket Connect()
  {
    Socket socket(callersIo_);
    socket.connect({ boost::asio::ip::make_address("127.0.0.1"), Service().Port() });
    return socket;
  }

  static void Send(Socket& aSocket, const std::string& aTarget)
  {
    const std::string text = "GET " + aTarget +
                             " HTTP/1.1\r\nHost: test\r\nAuthorization: Bearer " + kApiKey +
                             "\r\nRedwing-Timeout-Ms: 1000\r\n\r\n";
    boost::asio::write(aSocket, boost::asio::buffer(text));
  }

  /// Runs the event loop with a handler that is always ready, as under load, for aTurns turns.
  void RunTurns(int aTurns)
  {
    std::function<void()> turn = [&] {
      if (--aTurns > 0) {
        boost::asio::post(io_, turn);
      }
    };
    boost::asio::post(io_, turn);
    io_.restart();
    while (aTurns > 0) {
      io_.run_one();
    }
  }

  void WaitWithoutReading(Duration aTime) const
  {
    const TimePoint end = clock_.Now() + aTime;
    while (clock_.Now() < end) {
      std::this_thread::yield();
    }
  }

  boost::asio::io_context callersIo_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(IntakeOverload, OverloadFixture)

// Guards against work for callers that gave up while their requests waited to be read.
BOOST_AUTO_TEST_CASE(RequestsWhoseCallersLeftBeforeTheyWereReadAreNotSentOn)
{
  Socket kept = Connect();
  Send(kept, "/plant/kept");
  Answer(NextSent(), "done");
  RunTurns(5);
  Send(kept, "/plant/late");
  kept.close();
  for (int i = 0; i < 10; ++i) {
    Socket leaving = Connect();
    Send(leaving, "/plant/fresh");
  }
  Socket staying = Connect();
  Send(staying, "/plant/staying");
  BOOST_TEST(NextSent().target_ == "/plant/staying");
  RunTurns(50);
  BOOST_TEST(sent_.size() == taken_);
}

// Guards against work for callers that gave up while their requests waited for admission, and
// against tokens that such requests use up.
BOOST_AUTO_TEST_CASE(RequestsWhoseCallersLeftBeforeAdmissionAreNotSentOn)
{
  holdAdmission_ = true;
  Socket caller = Connect();
  Send(caller, "/plant/1");
  RunUntil([&] { return !held_.empty(); });
  caller.close();
  WaitWithoutReading(milliseconds(20));
  held_.front()({ true, 0, 17 });
  BOOST_TEST(sent_.empty());
  BOOST_TEST(returnedTokens_ == std::vector<std::uint64_t>{ 17 });
}

// Guards against tokens that are lost with requests that ended while they waited for admission.
BOOST_AUTO_TEST_CASE(AnAdmissionAfterTheDeadlineIsNotTaken)
{
  holdAdmission_ = true;
  Socket caller = Connect();
  Send(caller, "/plant/1");
  RunUntil([&] { return !held_.empty(); });
  // The deadline passes.
  RunUntil([&] { return caller.available() > 0; });
  BOOST_TEST(!held_.front()({ true, 0, 17 }));
  BOOST_TEST(sent_.empty());
}

// Guards against connections that wait for one turn of a slow event loop each.
BOOST_AUTO_TEST_CASE(WaitingConnectionsAreAcceptedTogether)
{
  constexpr std::size_t kCallers = 40;
  std::vector<Socket> callers;
  for (std::size_t i = 0; i < kCallers; ++i) {
    callers.push_back(Connect());
    Send(callers.back(), "/plant/1");
  }
  RunTurns(5);
  BOOST_TEST(sent_.size() == kCallers);
}

// Guards against a request that is given its whole time anew when it is read late.
BOOST_AUTO_TEST_CASE(TimeThatARequestWaitsUnreadIsCounted)
{
  constexpr milliseconds kUnread{ 300 };
  Socket caller = Connect();
  Send(caller, "/plant/1");
  WaitWithoutReading(kUnread);
  const TimePoint read = clock_.Now();
  const RequestStart request = NextSent();
  constexpr milliseconds kTimeout{ 1000 };
  constexpr milliseconds kTimerPrecision{ 20 };
  BOOST_TEST((request.deadline_ <= read + kTimeout - kUnread + kTimerPrecision));
}

// Guards against work that cannot be answered in time, and against callers that wait for it.
BOOST_AUTO_TEST_CASE(RequestsReadAfterTheirDeadlineAreRefusedAtOnce)
{
  Socket caller = Connect();
  Send(caller, "/plant/1");
  WaitWithoutReading(milliseconds(1100));
  std::string answer(4096, '\0');
  caller.non_blocking(true);
  boost::system::error_code error;
  RunUntil([&] { return caller.read_some(boost::asio::buffer(answer), error) > 0; });
  BOOST_TEST(Has(answer, "Redwing-Error: deadline_exceeded"));
  BOOST_TEST(Has(answer, "Redwing-Outcome: not-run"));
  BOOST_TEST(sent_.empty());
}

// Guards against pipelined requests whose time begins only when the requests before them end.
BOOST_AUTO_TEST_CASE(TimeThatAPipelinedRequestWaitsIsCounted)
{
  Socket caller = Connect();
  Send(caller, "/plant/1");
  Send(caller, "/plant/2");
  const RequestStart first = NextSent();
  RunTurns(5);
  const TimePoint sent = clock_.Now();
  const TimePoint later = sent + milliseconds(200);
  RunUntil([&] { return clock_.Now() >= later; });
  Answer(first, "done");
  const RequestStart second = NextSent();
  BOOST_TEST((second.deadline_ <= sent + milliseconds(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
