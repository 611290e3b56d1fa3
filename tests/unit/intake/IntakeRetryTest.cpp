#include "IntakeFixture.hpp"

using namespace redwing;
using namespace redwing::test;

BOOST_FIXTURE_TEST_SUITE(IntakeRetry, IntakeFixture)

// Guards against a stale shard table: the hinted owner must be asked at once.
BOOST_AUTO_TEST_CASE(FollowsTheOwnerHint)
{
  Caller caller(*this);
  caller.Request("POST /book/42", "Content-Length: 2\r\n", "hi");
  const RequestStart first = NextSent();
  BOOST_TEST(sent_.back().instance_ == "a");
  BOOST_TEST((first.shard_ && first.shard_->token_ == 5U));
  Refuse(first, ErrorCode::NotOwner, Outcome::NotRun, "c");
  const RequestStart second = NextSent();
  BOOST_TEST(sent_.back().instance_ == "c");
  BOOST_TEST(second.body_ == "hi");
  BOOST_TEST(second.key_.exchangeId_ != first.key_.exchangeId_);
  Answer(second, "booked");
  caller.ReadPast("booked");
}

// Guards against a takeover that callers notice: the recorded successor is tried, repeatedly, until
// it owns the shard.
BOOST_AUTO_TEST_CASE(TriesTheSuccessorUntilItOwnsTheShard)
{
  Caller caller(*this);
  caller.Request("POST /book/42");
  Refuse(NextSent(), ErrorCode::PeerUnreachable, Outcome::NotRun);
  for (int i = 0; i < 6; ++i) {
    Refuse(NextSent(), ErrorCode::NotOwner, Outcome::NotRun);
  }
  bool successorAsked = false;
  RunUntil([&] {
    if (sent_.size() == taken_) {
      return false;
    }
    const RequestStart request = NextSent();
    successorAsked = sent_.back().instance_ == "b";
    successorAsked ? Answer(request, "booked")
                   : Refuse(request, ErrorCode::PeerUnreachable, Outcome::NotRun);
    return successorAsked;
  });
  caller.ReadPast("booked");
}

// Guards against requests that are passed to each member of a pool although none accepts, and
// against a limit on those that another member accepts.
BOOST_AUTO_TEST_CASE(MembersAreAskedWhileTheyAccept)
{
  settings_.overloadRetries_ = { 1, 0, 1 };
  for (int i = 0; i < 2; ++i) {
    Caller caller(*this);
    caller.Request("GET /plant/1");
    Refuse(NextSent(), ErrorCode::Overloaded, Outcome::NotRun);
    Answer(NextSent(), "done");
    caller.ReadPast("done");
  }
  for (const std::size_t attempts : { 2U, 1U }) {
    const std::size_t before = sent_.size();
    Caller caller(*this);
    caller.Request("GET /plant/1");
    for (std::size_t i = 0; i < attempts; ++i) {
      Refuse(NextSent(), ErrorCode::Overloaded, Outcome::NotRun);
    }
    BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Outcome: not-run"));
    BOOST_TEST(sent_.size() == before + attempts);
  }
}

// Guards against a shard without an owner that holds the caller for longer than ownerWait.
BOOST_AUTO_TEST_CASE(GivesUpOnAShardWithoutOwner)
{
  owner_.clear();
  successor_.clear();
  settings_.ownerWait_ = std::chrono::milliseconds(30);
  Publish();
  Caller caller(*this);
  caller.Request("POST /book/42");
  const std::string text = caller.ReadPast("}\n");
  BOOST_TEST(Has(text, "Redwing-Error: no_owner"));
  BOOST_TEST(Has(text, "Redwing-Outcome: not-run"));
  BOOST_TEST(sent_.empty());
}

// Guards against a body that is lost or sent twice while its shard has no owner.
BOOST_AUTO_TEST_CASE(UploadWaitsForAnOwner)
{
  owner_.clear();
  successor_.clear();
  Publish();
  Caller caller(*this);
  const std::string body(100'000, 'x');
  caller.Request("POST /book/42", "Content-Length: 100000\r\n");
  caller.Send(body);
  owner_ = "a";
  Publish();
  const RequestStart request = NextSent();
  RunUntil([&] { return !events_.empty(); });
  std::string received = request.body_;
  for (const RequestBody& part : EventsOf<RequestBody>()) {
    received += part.bytes_;
  }
  BOOST_TEST((received == body));
  Answer(request, "booked");
  caller.ReadPast("booked");
}

// Guards against a second execution: a request that may not be repeated is sent once when the
// link is lost, and its outcome is unknown.
BOOST_AUTO_TEST_CASE(LostLinkOfANonIdempotentRequestIsUnknown)
{
  for (const char* path : { "POST /book/42", "POST /upload/1" }) {
    Caller caller(*this);
    caller.Request(path);
    NextSent();
    const std::size_t before = sent_.size();
    Service().OnPeerDown(sent_.back().instance_);
    const std::string text = caller.ReadPast("}\n");
    BOOST_TEST(Has(text, "Redwing-Error: link_lost"));
    BOOST_TEST(Has(text, "Redwing-Outcome: unknown"));
    BOOST_TEST(sent_.size() == before);
  }
}

// Guards against an idempotent request that fails because one server was lost.
BOOST_AUTO_TEST_CASE(LostLinkOfAnIdempotentRequestIsRetriedOnce)
{
  Caller caller(*this);
  caller.Request("GET /plant/1");
  NextSent();
  const std::string first = sent_.back().instance_;
  Service().OnPeerDown(first);
  NextSent();
  BOOST_TEST(sent_.back().instance_ != first);
  Service().OnPeerDown(sent_.back().instance_);
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Outcome: unknown"));
  BOOST_TEST(sent_.size() == 2U);
}

// Guards against an idempotent request that fails because the connection to the only server of its
// service, or to the owner of its shard, ended without a response; and against a third attempt.
BOOST_AUTO_TEST_CASE(ALostResponseIsAskedForAgainAtTheOnlyServer)
{
  members_ = { "a" };
  Publish();
  for (const char* line : { "GET /plant/1", "GET /lookup/42" }) {
    for (const bool answered : { true, false }) {
      const std::size_t before = sent_.size();
      Caller caller(*this);
      caller.Request(line);
      Refuse(NextSent(), ErrorCode::BackendFailed, Outcome::Unknown);
      const RequestStart second = NextSent();
      BOOST_TEST(sent_.back().instance_ == "a");
      if (answered) {
        Answer(second, "done");
        caller.ReadPast("done");
      } else {
        Refuse(second, ErrorCode::BackendFailed, Outcome::Unknown);
        BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Outcome: unknown"));
      }
      BOOST_TEST(sent_.size() == before + 2);
    }
  }
}

// Guards against attempts beyond the retry budget: those that follow a lost response, wait for an
// owner or hedge are charged when they are sent.
BOOST_AUTO_TEST_CASE(EveryFurtherAttemptIsTakenFromTheRetryBudget)
{
  settings_.retryBudget_ = { 0.0, 2.0, false };
  for (const char* line : { "GET /plant/1", "GET /lookup/42" }) {
    for (int i = 0; i < 4; ++i) {
      const std::size_t before = sent_.size();
      Caller caller(*this);
      caller.Request(line);
      Refuse(NextSent(), ErrorCode::BackendFailed, Outcome::Unknown);
      if (i < 2) {
        Answer(NextSent(), "done");
        caller.ReadPast("done");
      } else {
        BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Outcome: unknown"));
      }
      BOOST_TEST(sent_.size() == before + (i < 2 ? 2 : 1));
    }
  }
}

// Guards against "not run" for a request whose earlier attempt may have run.
BOOST_AUTO_TEST_CASE(NotRunAfterAnUnknownAttemptIsUnknown)
{
  Caller caller(*this);
  caller.Request("GET /plant/1");
  Refuse(NextSent(), ErrorCode::LinkLost, Outcome::Unknown);
  Refuse(NextSent(), ErrorCode::Overloaded, Outcome::NotRun);
  const std::string text = caller.ReadPast("}\n");
  BOOST_TEST(Has(text, "Redwing-Error: overloaded"));
  BOOST_TEST(Has(text, "Redwing-Outcome: unknown"));
}

// Guards against a pooled request that fails although another member could take it, and against
// repeating refusals that concern the request itself.
BOOST_AUTO_TEST_CASE(NotRunOnAPoolTriesAnotherMember)
{
  Caller caller(*this);
  caller.Request("POST /upload/1");
  Refuse(NextSent(), ErrorCode::Overloaded, Outcome::NotRun);
  Answer(NextSent(), "stored");
  caller.ReadPast("stored");
  BOOST_TEST(sent_[0].instance_ != sent_[1].instance_);
  caller.Request("POST /upload/1");
  Refuse(NextSent(), ErrorCode::PoisonRequest, Outcome::NotRun);
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Error: poison_request"));
  BOOST_TEST(sent_.size() == 3U);
}

// Guards against a full queue that loses the request or the record of its attempt.
BOOST_AUTO_TEST_CASE(FullQueuesRefuseNotRun)
{
  accept_ = false;
  Caller caller(*this);
  caller.Request("POST /upload/1");
  const std::string text = caller.ReadPast("}\n");
  BOOST_TEST(Has(text, "Redwing-Error: queue_full"));
  BOOST_TEST(Has(text, "Redwing-Outcome: not-run"));
  BOOST_TEST(sent_.size() == 2U);
}

// Guards against replaying part of a body: a large request is tried once only.
BOOST_AUTO_TEST_CASE(LargeBodiesAreTriedOnce)
{
  Caller caller(*this);
  caller.Request("POST /upload/1", "Content-Length: 100000\r\n");
  caller.Send(std::string(100'000, 'x'));
  const RequestStart request = NextSent();
  BOOST_TEST(!request.last_);
  Refuse(request, ErrorCode::Overloaded, Outcome::NotRun);
  BOOST_TEST(Has(caller.ReadPast("}\n"), "Redwing-Error: overloaded"));
  BOOST_TEST(sent_.size() == 1U);
}

// Guards against a straggler that decides the latency of idempotent requests, against hedges of
// others, and against a loser that is not cancelled.
BOOST_AUTO_TEST_CASE(HedgesIdempotentPooledRequestsOnly)
{
  // As many latencies as hedging needs: none of these requests can be hedged itself.
  constexpr int kSamples = 20;
  Caller caller(*this);
  for (int i = 0; i < kSamples; ++i) {
    caller.Request("GET /plant/1");
    Answer(NextSent(), "fast");
    caller.ReadPast("fast");
  }
  const std::size_t before = sent_.size();
  caller.Request("GET /plant/slow");
  const RequestStart first = NextSent();
  const RequestStart second = NextSent();
  BOOST_TEST(sent_[before].instance_ != sent_[before + 1].instance_);
  Answer(second, "hedged");
  caller.ReadPast("hedged");
  BOOST_REQUIRE_EQUAL(EventsOf<RequestCancel>().size(), 1U);
  BOOST_CHECK(EventsOf<RequestCancel>().front().key_ == first.key_);
  Answer(first, "loser");
  caller.Request("POST /upload/1", "Redwing-Timeout-Ms: 50\r\n");
  const RequestStart upload = NextSent();
  BOOST_TEST(!Has(caller.ReadPast("}\n"), "loser"));
  BOOST_TEST(sent_.size() == before + 3);
}

BOOST_AUTO_TEST_SUITE_END()
