#include "backend/AnnouncedServer.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>

using namespace redwing;

namespace {

using boost::asio::ip::tcp;

/// A listener, and the results of the probes that connect to it.
struct Fixture
{
  AnnouncedServer& Server() { return *server_; }

  void Probe()
  {
    server_->Probe([this](const std::optional<HealthReport>& aReport, bool aRefused) {
      ++callbacks_;
      up_ = aReport.has_value();
      refused_ = aRefused;
    });
  }

  boost::asio::io_context context_;
  tcp::acceptor acceptor_{ context_, { boost::asio::ip::make_address("127.0.0.1"), 0 } };
  std::unique_ptr<AnnouncedServer> server_ = std::make_unique<AnnouncedServer>(context_);
  int callbacks_ = 0;
  bool up_ = false;
  bool refused_ = false;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AnnouncedServers, Fixture)

// Guards against reporting a server as down while it accepts connections, or as up while it refuses
// them.
BOOST_AUTO_TEST_CASE(ReportsAcceptedAndRefusedConnections)
{
  Server().SetTarget(Address{ "127.0.0.1", acceptor_.local_endpoint().port() });
  Probe();
  context_.run();
  BOOST_TEST(callbacks_ == 1);
  BOOST_TEST(up_);
  acceptor_.close();
  context_.restart();
  Probe();
  context_.run();
  BOOST_TEST(callbacks_ == 2);
  BOOST_TEST(!up_);
  BOOST_TEST(refused_);
}

// Guards against a probe that calls back into a destroyed service. Two probes may be open at the
// same time, one for a suspected crash and one for a stalled connection.
BOOST_AUTO_TEST_CASE(NoProbeCallsBackAfterDestruction)
{
  Server().SetTarget(Address{ "127.0.0.1", acceptor_.local_endpoint().port() });
  Probe();
  Probe();
  Server().SetTarget(std::nullopt);
  Probe();
  server_.reset();
  context_.run();
  BOOST_TEST(callbacks_ == 0);
}

BOOST_AUTO_TEST_SUITE_END()
