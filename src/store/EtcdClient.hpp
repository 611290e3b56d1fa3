#pragma once

#include "store/HttpClient.hpp"

#include <memory>
#include <vector>

namespace redwing::Detail {

class EtcdWatch;

/// HTTP client with the watch streams of an EtcdStore.
class EtcdClient final : public HttpClient
{
public:
  using HttpClient::HttpClient;
  ~EtcdClient() override;

  /// Opens a watch stream; it counts as one call.
  ///
  /// Preconditions: none. Thread safety: callable from any thread.
  void PostWatch(HttpStoreRequest aRequest, Store::WatchCallback aEvents);

  void Close() override;

private:
  std::shared_ptr<EtcdClient> Self();
  void StartWatch(HttpStoreRequest aRequest, Store::WatchCallback aEvents);

  std::vector<std::weak_ptr<EtcdWatch>> watches_;
};

} // namespace redwing::Detail
