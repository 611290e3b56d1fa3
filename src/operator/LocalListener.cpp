#include "operator/LocalListener.hpp"

#include "operator/LocalSession.hpp"

#include <boost/asio/ip/address_v4.hpp>
#include <utility>

namespace redwing::Detail {

LocalListener::LocalListener(boost::asio::io_context& aContext,
                             LocalServerSettings aSettings,
                             LocalServer::Handler aHandler)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , handler_(std::move(aHandler))
  , acceptor_(aContext)
{
}

LocalListener::~LocalListener() = default;

tl::expected<Address, std::string>
LocalListener::Start()
{
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address_v4(settings_.address_.ip_, error);
  const boost::asio::ip::tcp::endpoint endpoint(ip, settings_.address_.port_);
  if (!error) {
    acceptor_.open(endpoint.protocol(), error);
  }
  if (!error) {
    acceptor_.set_option(boost::asio::socket_base::reuse_address(true), error);
  }
  if (!error) {
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(boost::asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::unexpected(settings_.address_.ToString() + ": " + error.message());
  }
  settings_.address_.port_ = acceptor_.local_endpoint().port();
  Accept();
  return settings_.address_;
}

void
LocalListener::Close()
{
  boost::system::error_code ignored;
  acceptor_.close(ignored);
  for (const auto& item : std::exchange(sessions_, {})) {
    if (const auto session = item.lock()) {
      session->Close();
    }
  }
}

void
LocalListener::Accept()
{
  acceptor_.async_accept([self = shared_from_this()](boost::system::error_code aError,
                                                     boost::asio::ip::tcp::socket aSocket) {
    if (!self->acceptor_.is_open()) {
      return;
    }
    if (!aError) {
      self->OnAccept(std::move(aSocket));
    }
    self->Accept();
  });
}

void
LocalListener::OnAccept(boost::asio::ip::tcp::socket aSocket)
{
  std::erase_if(sessions_, [](const auto& aItem) { return aItem.expired(); });
  if (sessions_.size() >= settings_.connections_) {
    // The socket closes here; the client sees a refused request, not one that waits.
    return;
  }
  auto session = std::make_shared<LocalSession>(shared_from_this(), std::move(aSocket));
  sessions_.push_back(session);
  session->Start();
}

} // namespace redwing::Detail
