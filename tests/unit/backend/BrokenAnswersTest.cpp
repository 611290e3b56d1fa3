#include "BackendBench.hpp"

using namespace redwing;
using namespace std::chrono_literals;
using redwing::test::Bench;
using redwing::test::ExpectRefusal;
using redwing::test::FakeRequest;
using redwing::test::FakeServer;

namespace {

struct Case
{
  std::string answer_;
  /// The answer is whole from here on; its end is the end of the connection if this is less than
  /// its size.
  std::size_t wholeAt_;
};

std::vector<Case>
Cases(const std::string& aId)
{
  const std::string id = "Redwing-Request-Id: " + aId + "\r\n";
  const std::string signature = "Signature: s\r\n";
  const std::string ok = "HTTP/1.1 200 OK\r\n";
  const std::string length = ok + "Content-Length: 12\r\n" + id + signature + "\r\ntwelve bytes";
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n" + ok + signature + id +
                              "Content-Length: 3\r\nX-Folded: a\r\n b\r\n\r\nabc";
  const std::string chunked = ok + id + signature + "Transfer-Encoding: chunked\r\n\r\n" +
                              "5;ext=1\r\nthree\r\n10\r\nsixteen letters!\r\n0\r\nX-End: 1\r\n\r\n";
  const std::string empty = "HTTP/1.1 204 No Content\r\n" + signature + id + "\r\n";
  const std::string open =
    ok + id + signature + "Connection: close\r\n\r\nends with the connection";
  return { { length, length.size() },
           { interim, interim.size() },
           { chunked, chunked.size() },
           { empty, empty.size() },
           { open, open.find("\r\n\r\n") + 4 } };
}

/// Returns whether the events that follow the first aBefore ones present a complete response.
bool
IsPresentedAsWhole(Bench& aBench, std::size_t aBefore)
{
  for (std::size_t next = aBefore;; ++next) {
    const auto event = aBench.responses_.Await(next + 1)[next];
    if (const auto* refusal = std::get_if<Refusal>(&event)) {
      BOOST_TEST((refusal->outcome_ == Outcome::Unknown));
      return false;
    }
    if (std::holds_alternative<ResponseAbort>(event)) {
      return false;
    }
    const auto* head = std::get_if<ResponseStart>(&event);
    if (head != nullptr ? head->last_ : std::get<ResponseBody>(event).last_) {
      return true;
    }
  }
}

void
CutEverywhere(std::size_t aCase, bool aReset, bool aKept)
{
  HttpProtocol protocol;
  protocol.serverEchoesId_ = true;
  protocol.signatureHeader_ = "Signature";
  std::string answer;
  std::size_t cut = 0;
  Bench bench(
    [&](const FakeRequest& aRequest) {
      if (aRequest.target_ == "/whole") {
        return FakeServer::Response{ answer };
      }
      return FakeServer::Response{ answer.substr(0, cut), !aReset, false, aReset };
    },
    4,
    {},
    protocol);
  std::uint64_t id = 0;
  const std::size_t size = Cases("r1000")[aCase].answer_.size();
  for (std::size_t at = 0; at <= size; ++at) {
    bench.Announce();
    if (aKept) {
      auto start = bench.Make(++id + 999);
      start.target_ = "/whole";
      answer =
        FakeServer::Ok("", "Signature: s\r\nRedwing-Request-Id: " + start.requestId_ + "\r\n");
      BOOST_REQUIRE(std::holds_alternative<ResponseStart>(bench.Run(std::move(start))));
    }
    const auto events = bench.responses_.Size();
    auto start = bench.Make(++id + 999);
    const Case current = Cases(start.requestId_)[aCase];
    answer = current.answer_;
    cut = std::min(at, answer.size());
    BOOST_REQUIRE(bench.service_.TryStart(std::move(start)));
    const bool whole = IsPresentedAsWhole(bench, events);
    const bool endsOpen = current.wholeAt_ < answer.size();
    // A reset may overtake the bytes before it.
    if (aReset ? endsOpen || cut < current.wholeAt_ : cut < current.wholeAt_) {
      BOOST_TEST(!whole, "cut at " << cut << " of " << answer);
    } else if (!aReset) {
      BOOST_TEST(whole, "cut at " << cut << " of " << answer);
    }
  }
}

} // namespace

// Guards against an answer that breaks off, in its head or body, and is passed on as complete.
BOOST_AUTO_TEST_CASE(AnswerThatBreaksOffIsNotComplete)
{
  for (std::size_t index = 0; index < Cases("r").size(); ++index) {
    for (const auto& [reset, kept] : { std::pair(false, false), { false, true }, { true, true } }) {
      BOOST_TEST_CONTEXT("case " << index << ", reset " << reset << ", kept " << kept)
      {
        CutEverywhere(index, reset, kept);
      }
    }
  }
}
