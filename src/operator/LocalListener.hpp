#pragma once

#include "core/ConnectionAcceptor.hpp"
#include "operator/LocalServer.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <vector>

namespace redwing::Detail {

class LocalSession;

/// Accepts connections and keeps the sessions. All methods run on the context's thread, but for
/// those that say otherwise.
class LocalListener : public std::enable_shared_from_this<LocalListener>
{
public:
  LocalListener(boost::asio::io_context& aContext,
                LocalServerSettings aSettings,
                LocalServer::Handler aHandler);
  ~LocalListener();
  LocalListener(const LocalListener&) = delete;
  LocalListener& operator=(const LocalListener&) = delete;

  tl::expected<Address, std::string> Start();
  void Close();

  /// Thread safety: callable from any thread.
  boost::asio::io_context& Context() { return context_; }
  const LocalServerSettings& Settings() const { return settings_; }
  const LocalServer::Handler& Handler() const { return handler_; }

private:
  void OnAccept(boost::asio::ip::tcp::socket aSocket);

  boost::asio::io_context& context_;
  LocalServerSettings settings_;
  LocalServer::Handler handler_;
  ConnectionAcceptor acceptor_;
  std::vector<std::weak_ptr<LocalSession>> sessions_;
};

} // namespace redwing::Detail
