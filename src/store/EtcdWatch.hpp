#pragma once

#include "store/EtcdClient.hpp"

#include <memory>

namespace redwing::Detail {

/// One watch stream on a connection of its own. Keeps itself alive until it ends. Store thread
/// only.
class EtcdWatch : public std::enable_shared_from_this<EtcdWatch>
{
public:
  EtcdWatch(std::shared_ptr<EtcdClient> aClient,
            HttpStoreRequest aRequest,
            Store::WatchCallback aEvents);
  ~EtcdWatch();
  EtcdWatch(const EtcdWatch&) = delete;
  EtcdWatch& operator=(const EtcdWatch&) = delete;

  /// Connects and sends the request.
  void Start();

  /// Closes the connection; the callback does not run again.
  void Cancel();

private:
  struct State;

  void Send();
  void ReadHeader();
  void ReadSome();
  void OnData(std::size_t aBytes);
  void DeliverLines();
  void Fail(StoreErrorKind aKind, const std::string& aMessage);

  std::unique_ptr<State> state_;
};

} // namespace redwing::Detail
