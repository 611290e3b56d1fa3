#include "operator/LocalServer.hpp"

#include "operator/LocalListener.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace redwing {

LocalServer::LocalServer(boost::asio::io_context& aContext,
                         LocalServerSettings aSettings,
                         LocalHandlers aHandlers,
                         LocalRouter::Audit aAudit)
  : listener_(std::make_shared<Detail::LocalListener>(aContext,
                                                      std::move(aSettings),
                                                      std::move(aHandlers),
                                                      std::move(aAudit)))
{
}

LocalServer::~LocalServer()
{
  boost::asio::post(listener_->Context(), [listener = listener_] { listener->Close(); });
}

tl::expected<Address, std::string>
LocalServer::Start()
{
  return listener_->Start();
}

} // namespace redwing
