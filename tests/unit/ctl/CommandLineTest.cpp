#include "ctl/CommandLine.hpp"
#include "backend/LoadMetrics.hpp"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <sstream>

using namespace redwing::ctl;

namespace {

/// Runs commands against scripted replies and records the calls.
struct Fixture
{
  int Run(std::vector<std::string> aArguments)
  {
    out_.str("");
    err_.str("");
    calls_.clear();
    return redwing::ctl::Run(
      aArguments,
      [this](const CtlSettings& aSettings) {
        settings_ = aSettings;
        return [this](const CtlCall& aCall) -> CtlResult {
          calls_.push_back(aCall.method_ + " " + aCall.target_ + " " + aCall.body_);
          BOOST_REQUIRE_MESSAGE(!replies_.empty(), calls_.back());
          CtlResult reply = replies_.front();
          replies_.pop_front();
          return reply;
        };
      },
      out_,
      err_);
  }

  std::deque<CtlResult> replies_;
  CtlSettings settings_;
  std::vector<std::string> calls_;
  std::ostringstream out_;
  std::ostringstream err_;
};

const std::string kDocument = std::string(REDWING_SOURCE_DIR) + "/examples/taco-certo.json";
constexpr const char* kEmpty =
  R"({"revision":7,"operation":"x","document":{"version":1,"dataCentres":[{"id":"braga","region":"pt"}]}})";

bool
Contains(const std::string& aText, const std::string& aPart)
{
  return aText.find(aPart) != std::string::npos;
}

} // namespace

// Guards against exit codes that scripts rely on being mixed up.
BOOST_AUTO_TEST_CASE(ExitCodesFollowTheResult)
{
  const std::vector<std::string> command = {
    "data-centre", "withdraw", "braga", "--operation", "op-1"
  };
  const std::tuple<CtlResult, int, bool> cases[] = {
    { CtlReply{ 200, R"({"revision":8,"operation":"op-1"})" }, 0, false },
    { CtlReply{ 422,
                R"({"code":"invalid_configuration","findings":[{"place":"/x","message":"bad"}]})" },
      1,
      false },
    { CtlReply{ 409, R"({"code":"revision_conflict","conflicts":["keys/a"]})" }, 1, false },
    { CtlReply{ 401, "not JSON" }, 1, false },
    { CtlReply{ 503, R"({"code":"store_unavailable"})" }, 3, false },
    { CtlReply{ 503, R"({"code":"outcome_unknown"})" }, 3, true },
    { CtlReply{ 200, "not JSON" }, 3, true },
    { tl::unexpected(CtlError{ false, "refused" }), 3, false },
    { tl::unexpected(CtlError{ true, "lost" }), 3, true },
  };
  for (const auto& [reply, code, repeat] : cases) {
    Fixture fixture;
    fixture.replies_.push_back(reply);
    BOOST_TEST(fixture.Run(command) == code);
    BOOST_TEST(fixture.calls_[0] == "POST /v1/data-centres/braga/withdraw?operation=op-1 ");
    // Guards against an operator who cannot repeat a command with unknown outcome safely.
    BOOST_TEST(Contains(fixture.err_.str(), "repeat the command with --operation op-1") == repeat);
  }
}

// Guards against wrong arguments reaching an instance.
BOOST_AUTO_TEST_CASE(UsageErrorsExitWithTwo)
{
  const std::vector<std::vector<std::string>> cases = {
    {},
    { "bogus" },
    { "key", "issue", "a" },
    { "key", "withdraw", "a/b" },
    { "apply" },
    { "status", "--output", "xml" },
    { "status", "--instance", "localhost:1" },
    { "force-shard", "--service", "a", "--shard", "1" },
    { "status", "--operator-token-file", "/nonexistent" },
    { "instance", "drain", "--instance", "127.0.0.1:1", "--instance", "127.0.0.1:2" },
    { "holds" },
    { "memory" },
    { "load" },
    { "holds", "--instance", "127.0.0.1:1", "--instance", "127.0.0.1:2" },
    { "rollout" },
    { "rollout", "status" },
  };
  for (const auto& arguments : cases) {
    Fixture fixture;
    BOOST_TEST(fixture.Run(arguments) == 2);
    BOOST_TEST(fixture.calls_.empty());
  }
}

// Guards against options being lost when they are given in other places or several times.
BOOST_AUTO_TEST_CASE(GlobalOptionsMayFollowTheCommand)
{
  Fixture fixture;
  fixture.replies_.push_back(CtlReply{ 200, R"({"key":"rw_1","revision":0})" });
  BOOST_TEST(fixture.Run({ "--instance",
                           "127.0.0.1:1",
                           "key",
                           "issue",
                           "--instance",
                           "127.0.0.1:2",
                           "k",
                           "--workspace",
                           "w",
                           "--operator-token",
                           "t",
                           "--output",
                           "json" }) == 0);
  BOOST_TEST(fixture.settings_.instances_.size() == 2U);
  BOOST_TEST(fixture.settings_.operatorToken_ == "t");
  BOOST_TEST(fixture.settings_.operation_.size() >= 16U);
  BOOST_TEST(Contains(fixture.out_.str(), "\"key\":\"rw_1\""));
  BOOST_TEST(Contains(fixture.calls_[0], R"({"id":"k","workspace":"w"})"));
}

// Guards against a stored change being reported as in force before every instance has it.
BOOST_AUTO_TEST_CASE(WaitPollsUntilEveryMemberHasTheRevision)
{
  Fixture fixture;
  const auto status = [](int aFirst, int aSecond) {
    return CtlReply{ 200,
                     R"({"members":[{"id":"a","revision":)" + std::to_string(aFirst) +
                       R"(},{"id":"b","revision":)" + std::to_string(aSecond) + "}]}" };
  };
  fixture.replies_ = { CtlReply{ 200, kEmpty },
                       CtlReply{ 200, R"({"revision":8})" },
                       status(8, 7),
                       tl::unexpected(CtlError{ false, "refused" }),
                       status(8, 9) };
  BOOST_TEST(fixture.Run({ "apply", "-f", kDocument, "--wait" }) == 0);
  BOOST_TEST(fixture.replies_.empty());
  BOOST_TEST(Contains(fixture.calls_[1], "PUT /v1/configuration?expect=7&operation=ctl-"));
  BOOST_TEST(Contains(fixture.err_.str(), "1 of 2 instances, waiting for b"));
  BOOST_TEST(Contains(fixture.err_.str(), "2 of 2 instances"));
}

// Guards against validate and diff that need an instance or hide a difference.
BOOST_AUTO_TEST_CASE(DocumentCommandsShowWhatTheyFind)
{
  Fixture fixture;
  BOOST_TEST(fixture.Run({ "validate", "-f", kDocument }) == 0);
  BOOST_TEST(fixture.Run({ "validate", "-f", kDocument, "-f", kDocument }) == 1);
  BOOST_TEST(Contains(fixture.err_.str(), "#/workspaces/0/id: duplicate of"));
  BOOST_TEST(fixture.Run({ "validate", "-f", "/nonexistent" }) == 1);
  fixture.replies_ = { CtlReply{ 200, kEmpty } };
  BOOST_TEST(fixture.Run({ "diff", "-f", kDocument }) == 0);
  BOOST_TEST(Contains(fixture.out_.str(), "~ dataCentres/braga\n"));
  BOOST_TEST(Contains(fixture.out_.str(), "+ services/booking\n"));
  fixture.replies_ = { CtlReply{ 200, kEmpty } };
  BOOST_TEST(fixture.Run({ "data-centre", "list" }) == 0);
  BOOST_TEST(Contains(fixture.out_.str(), "braga  pt      false      -\n"));
  fixture.replies_ = { CtlReply{ 200, kEmpty } };
  BOOST_TEST(fixture.Run({ "route", "show", "x" }) == 1);
}

// Guards against tables that drop rows or fail on null members.
BOOST_AUTO_TEST_CASE(FleetCommandsPrintTables)
{
  Fixture fixture;
  fixture.replies_ = {
    CtlReply{
      200,
      R"({"service":"s","shards":[{"shard":17,"state":"owned","owner":{"id":"i1","incarnation":3},"token":12,"successor":null}]})" }
  };
  BOOST_TEST(fixture.Run({ "shards", "--service", "s" }) == 0);
  BOOST_TEST(Contains(fixture.out_.str(), "17     owned  i1#3   12     -\n"));
  fixture.replies_ = {
    CtlReply{
      200,
      R"({"revision":7,"store":{"reachable":false},"members":[{"id":"i1"}],"worst_workspace":null})" }
  };
  BOOST_TEST(fixture.Run({ "status" }) == 0);
  BOOST_TEST(Contains(fixture.out_.str(), "store reachable: false"));
  fixture.replies_ = { CtlReply{ 200, "[]" } };
  BOOST_TEST(fixture.Run({ "instance", "list" }) == 3);
}

// Guards against figures under the wrong name, and against holds shown for an instance without any.
BOOST_AUTO_TEST_CASE(HoldsThatAreMixedUpOrMadeUp)
{
  const std::vector<std::string> command = { "holds", "--instance", "127.0.0.1:1" };
  const CtlReply metrics{ 200,
                          "# TYPE redwing_holds_ended_total counter\n"
                          "redwing_holds_ended_total{reason=\"assumed\"} 1\n"
                          "redwing_holds_ended_total{reason=\"expired\"} 2\n"
                          "redwing_holds_ended_total{reason=\"released\"} 3\n"
                          "redwing_holds_ended_total{reason=\"restarted\"} 4\n"
                          "# TYPE redwing_shards_held gauge\n"
                          "redwing_hold_left_ms 1500\n"
                          "redwing_lease_left_ms 5900\n"
                          "redwing_shards_granted 40\n"
                          "redwing_shards_held 64\n"
                          "redwing_shards_held_by_others 7\n" };
  Fixture fixture;
  fixture.replies_ = { metrics };
  BOOST_TEST(fixture.Run(command) == 0);
  BOOST_TEST(fixture.calls_[0] == "GET /metrics ");
  BOOST_TEST(fixture.out_.str() ==
             "shards_granted  shards_held  hold_left_ms  lease_left_ms  expired  released  "
             "restarted  assumed\n"
             "40              64           1500          5900           2        3         "
             "4          1\n");
  fixture.replies_ = { metrics };
  BOOST_TEST(fixture.Run({ "holds", "--instance", "127.0.0.1:1", "--output", "json" }) == 0);
  BOOST_TEST(Contains(fixture.out_.str(), "\"shards_held\":64"));
  for (const char* other :
       { "", "no metrics", "redwing_shards_held", "redwing_retries_total 3\n" }) {
    fixture.replies_ = { CtlReply{ 200, other } };
    BOOST_TEST(fixture.Run(command) == 1);
    BOOST_TEST(Contains(fixture.err_.str(), "the instance keeps no holds"));
    BOOST_TEST(fixture.out_.str().empty());
  }
}

// Guards against metrics of the load that an operator looks for by names that no instance has.
BOOST_AUTO_TEST_CASE(LoadIsShownByTheMetricsOfAnInstance)
{
  redwing::CounterRegistry counters;
  redwing::LoadMetrics load(counters);
  redwing::LoadReport report;
  report.slots_ = 8;
  report.running_ = 6;
  report.queued_ = 12;
  report.serviceTimeUs_ = 100'000;
  load.Show(report, 6);
  load.OnResponse(true);
  load.OnResponse(false);
  Fixture fixture;
  fixture.replies_ = { CtlReply{ 200, counters.RenderText() } };
  BOOST_TEST(fixture.Run({ "load", "--instance", "127.0.0.1:1", "--output", "json" }) == 0);
  for (const char* text : { "\"slots\":8",
                            "\"limit\":6",
                            "\"running\":6",
                            "\"queued\":12",
                            "\"wait_ms\":200",
                            "\"met\":1",
                            "\"missed\":1" }) {
    BOOST_TEST(Contains(fixture.out_.str(), text), text);
  }
}

// Guards against rollouts without the figures that an operator decides by, and against a text of
// another kind that is shown as no rollouts.
BOOST_AUTO_TEST_CASE(RolloutsAreShownWithTheirRoutes)
{
  const std::vector<std::string> command = { "rollout", "status", "--instance", "127.0.0.1:1" };
  Fixture fixture;
  fixture.replies_ = { CtlReply{
    200,
    R"({"leader":"a","rollouts":[{"service":"desk","version":"v2","phase":"canary","share":0.08,)"
    R"("targets":["x"],"reason":"evidence","requests":100,"target_requests":8,"routes":)"
    R"([{"route":"r","side":"target","requests":8,"failures":3}]}]})" } };
  BOOST_TEST(fixture.Run(command) == 0);
  BOOST_TEST(fixture.calls_[0] == "GET /rollouts ");
  for (const char* shown : { "leader: a", "canary", "0.08", "evidence", "100", "target" }) {
    BOOST_TEST(Contains(fixture.out_.str(), shown));
  }
  fixture.replies_ = { CtlReply{ 200, "redwing_retries_total 3\n" } };
  BOOST_TEST(fixture.Run(command) == 1);
  BOOST_TEST(Contains(fixture.err_.str(), "the instance has no rollouts"));
}

// Guards against completion scripts that miss commands.
BOOST_AUTO_TEST_CASE(CompletionKnowsAllCommands)
{
  Fixture fixture;
  for (const char* shell : { "bash", "zsh" }) {
    BOOST_TEST(fixture.Run({ "completion", shell }) == 0);
    BOOST_TEST(Contains(fixture.out_.str(), "'key issue') words="));
    BOOST_TEST(Contains(fixture.out_.str(), "'data-centre') words="));
  }
}
