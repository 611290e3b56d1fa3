#pragma once

#include "operator/LocalListener.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>

namespace redwing::Detail {

/// One client connection; handles one request after the other. Context thread only.
class LocalSession : public std::enable_shared_from_this<LocalSession>
{
public:
  LocalSession(std::shared_ptr<LocalListener> aListener, boost::asio::ip::tcp::socket aSocket);
  ~LocalSession();
  LocalSession(const LocalSession&) = delete;
  LocalSession& operator=(const LocalSession&) = delete;

  void Start();
  void Close();

private:
  struct State;

  void Read();
  void OnRequest();
  void OnReadError(const boost::system::error_code& aError);
  void StartHandlerTimer(std::uint64_t aSequence);
  void Respond(std::uint64_t aSequence, LocalReply aReply);
  void Write();
  void Discard();

  std::unique_ptr<State> state_;
};

} // namespace redwing::Detail
