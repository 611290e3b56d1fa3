#include "core/ConnectionAcceptor.hpp"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <vector>

using redwing::Address;
using redwing::ConnectionAcceptor;
using Socket = boost::asio::ip::tcp::socket;

namespace {

Socket
ConnectTo(boost::asio::io_context& aContext, const Address& aAddress)
{
  Socket socket(aContext);
  socket.connect({ boost::asio::ip::make_address(aAddress.ip_), aAddress.port_ });
  return socket;
}

} // namespace

// Guards against an address in use that is not reported.
BOOST_AUTO_TEST_CASE(AnAddressInUseIsAnError)
{
  boost::asio::io_context context;
  ConnectionAcceptor first(context, [](Socket) {});
  const auto bound = first.Listen({ "127.0.0.1", 0 });
  BOOST_REQUIRE(bound);
  ConnectionAcceptor second(context, [](Socket) {});
  BOOST_TEST(!second.Listen(*bound));
  BOOST_TEST(!second.Listen({ "localhost", 0 }));
}

// Guards against a callback on an acceptor that was destroyed between a connection and its handler.
BOOST_AUTO_TEST_CASE(ConnectionsThatWaitWhenTheAcceptorEndsAreDropped)
{
  boost::asio::io_context context;
  boost::asio::io_context callers;
  int accepted = 0;
  auto acceptor = std::make_unique<ConnectionAcceptor>(context, [&](Socket) { ++accepted; });
  const auto bound = acceptor->Listen({ "127.0.0.1", 0 });
  BOOST_REQUIRE(bound);
  const Socket served = ConnectTo(callers, *bound);
  while (accepted == 0) {
    context.run_one();
  }
  const Socket waiting = ConnectTo(callers, *bound);
  boost::asio::post(context, [&] { acceptor.reset(); });
  context.run();
  BOOST_TEST(accepted <= 2);
}

// Guards against connections beyond those accepted in a row that wait for another connection.
BOOST_AUTO_TEST_CASE(AllWaitingConnectionsAreAcceptedInTheEnd)
{
  constexpr int kConnections = 600;
  boost::asio::io_context context;
  boost::asio::io_context callers;
  int accepted = 0;
  ConnectionAcceptor acceptor(context, [&](Socket) { ++accepted; });
  const auto bound = acceptor.Listen({ "127.0.0.1", 0 });
  BOOST_REQUIRE(bound);
  std::vector<Socket> sockets;
  for (int i = 0; i < kConnections; ++i) {
    sockets.push_back(ConnectTo(callers, *bound));
    if (i % 100 == 0) {
      context.poll();
    }
  }
  context.run_for(std::chrono::milliseconds(100));
  BOOST_TEST(accepted == kConnections);
}
