#include "ctl/CommandLine.hpp"
#include "ctl/HttpTransport.hpp"
#include "operator/ConfigurationOperations.hpp"
#include "operator/LocalServer.hpp"
#include "support/FakeStore.hpp"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <sstream>
#include <thread>

using namespace redwing;

namespace {

const std::string kDocument = std::string(REDWING_SOURCE_DIR) + "/examples/halvorsen.json";

/// An instance's local server over a fake store, on a thread of its own.
struct Fixture
{
  Fixture()
    : store_(1, 0)
    , editor_(
        store_,
        store_.clock_,
        1,
        [this](Duration aDelay, std::function<void()> aNext) {
          store_.After(aDelay, std::move(aNext));
        },
        ConfigurationEditor::Settings())
  {
    LocalHandlers handlers;
    ConfigurationOperations(editor_, [this](const std::function<void()>& aFunction) {
      boost::asio::post(context_, [this, aFunction] {
        aFunction();
        store_.Run();
      });
    }).Install(handlers);
    LocalServerSettings settings;
    settings.address_ = { "127.0.0.1", 0 };
    settings.operatorToken_ = "secret";
    server_ = std::make_unique<LocalServer>(
      context_, settings, std::move(handlers), [](const AuditEntry&) {});
    instance_ = server_->Start().value().ToString();
    thread_ = std::thread([this] { context_.run(); });
  }

  ~Fixture()
  {
    server_.reset();
    context_.stop();
    thread_.join();
  }

  int Run(std::vector<std::string> aArguments)
  {
    out_.str("");
    err_.str("");
    // The first instance does not exist; the second one is tried.
    aArguments.insert(
      aArguments.end(),
      { "--instance", "127.0.0.1:1", "--instance", instance_, "--operator-token", "secret" });
    return ctl::Run(aArguments, ctl::MakeHttpTransport, out_, err_);
  }

  boost::asio::io_context context_;
  test::FakeStore store_;
  ConfigurationEditor editor_;
  std::unique_ptr<LocalServer> server_;
  std::string instance_;
  std::thread thread_;
  std::ostringstream out_;
  std::ostringstream err_;
};

} // namespace

// Guards against the command, the server, the editor and the store disagreeing on any format, and
// against a repeated command being applied twice.
BOOST_AUTO_TEST_CASE(CommandsChangeTheStoredConfiguration)
{
  Fixture fixture;
  BOOST_TEST(fixture.Run({ "apply", "-f", kDocument, "--operation", "a" }) == 0);
  BOOST_TEST(fixture.out_.str() == "revision: 101\noperation: a\n");
  BOOST_TEST(fixture.Run({ "apply", "-f", kDocument, "--operation", "b", "--expect", "1" }) == 1);
  BOOST_TEST(fixture.err_.str().find("revision_conflict") != std::string::npos);
  BOOST_TEST(
    fixture.Run({ "data-centre", "withdraw", "surrey", "--operation", "c", "--output", "json" }) ==
    0);
  BOOST_TEST(fixture.out_.str() == "{\"revision\":102,\"operation\":\"c\"}\n");
  BOOST_TEST(fixture.Run({ "data-centre", "withdraw", "nowhere" }) == 1);
  BOOST_TEST(fixture.Run({ "key", "issue", "k1", "--workspace", "billing", "--operation", "d" }) ==
             0);
  const std::string issued = fixture.out_.str();
  const std::string plain = issued.substr(issued.find("rw_"), 51);
  BOOST_TEST(fixture.Run({ "key", "issue", "k1", "--workspace", "billing", "--operation", "d" }) ==
             1);
  BOOST_TEST(fixture.err_.str().find("key_issued_before") != std::string::npos);
  BOOST_TEST(fixture.Run({ "export" }) == 0);
  BOOST_TEST(fixture.out_.str().find(ToHex(Sha256(plain))) != std::string::npos);
  BOOST_TEST(fixture.out_.str().find(plain) == std::string::npos);
  BOOST_TEST(fixture.Run({ "key", "withdraw", "k1", "--operation", "e" }) == 0);
  BOOST_TEST(fixture.Run({ "key", "withdraw", "k1", "--operation", "e" }) == 0);
  BOOST_TEST(fixture.Run({ "key", "withdraw", "k1", "--operation", "f" }) == 1);
  BOOST_TEST(fixture.store_.written_.size() == 4U);
  BOOST_TEST(fixture.Run({ "status" }) == 1);
}
