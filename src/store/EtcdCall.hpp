#pragma once

#include "store/EtcdClient.hpp"

#include <memory>

namespace redwing::Detail {

/// One request and its reply. Keeps itself alive until the callback has run. Store thread only.
class EtcdCall : public std::enable_shared_from_this<EtcdCall>
{
public:
  EtcdCall(std::shared_ptr<EtcdClient> aClient,
           EtcdRequest aRequest,
           StoreCallback<std::string> aDone);
  ~EtcdCall();
  EtcdCall(const EtcdCall&) = delete;
  EtcdCall& operator=(const EtcdCall&) = delete;

  /// Connects, or takes an idle connection, and sends the request.
  void Start();

  /// Closes the connection; the callback does not run.
  void Cancel();

private:
  struct State;

  void Connect();
  void Send();
  void Read();
  void Finish();
  void Fail(bool aSent, const std::string& aMessage);

  std::unique_ptr<State> state_;
};

} // namespace redwing::Detail
