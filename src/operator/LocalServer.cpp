#include "operator/LocalServer.hpp"

#include "operator/LocalListener.hpp"

#include <boost/asio/post.hpp>
#include <utility>

namespace redwing {

namespace {

LocalServer::Handler
RouterHandler(const std::string& aToken, LocalHandlers aHandlers, LocalRouter::Audit aAudit)
{
  return [router = std::make_shared<LocalRouter>(aToken, std::move(aHandlers), std::move(aAudit))](
           const LocalRequest& aRequest, LocalReplyCallback aReply) {
    router->Handle(aRequest, std::move(aReply));
  };
}

} // namespace

LocalServer::LocalServer(boost::asio::io_context& aContext,
                         LocalServerSettings aSettings,
                         Handler aHandler)
  : listener_(
      std::make_shared<Detail::LocalListener>(aContext, std::move(aSettings), std::move(aHandler)))
{
}

LocalServer::LocalServer(boost::asio::io_context& aContext,
                         const LocalServerSettings& aSettings,
                         LocalHandlers aHandlers,
                         LocalRouter::Audit aAudit)
  : LocalServer(aContext,
                aSettings,
                RouterHandler(aSettings.operatorToken_, std::move(aHandlers), std::move(aAudit)))
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
