#include "operator/LocalListener.hpp"

#include "operator/LocalSession.hpp"

#include <utility>

namespace redwing::Detail {

LocalListener::LocalListener(boost::asio::io_context& aContext,
                             LocalServerSettings aSettings,
                             LocalServer::Handler aHandler)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , handler_(std::move(aHandler))
  , acceptor_(aContext,
              [this](boost::asio::ip::tcp::socket aSocket) { OnAccept(std::move(aSocket)); })
{
}

LocalListener::~LocalListener() = default;

tl::expected<Address, std::string>
LocalListener::Start()
{
  const auto bound = acceptor_.Listen(settings_.address_);
  if (!bound) {
    return tl::unexpected(settings_.address_.ToString() + ": " + bound.error());
  }
  settings_.address_ = *bound;
  return settings_.address_;
}

void
LocalListener::Close()
{
  acceptor_.Close();
  for (const auto& item : std::exchange(sessions_, {})) {
    if (const auto session = item.lock()) {
      session->Close();
    }
  }
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
